// The implementation of Planner: the reservations, the queue, the learned statistics
// and the three steps of a plan, which are probes and placements, speeds, and evictions.
#pragma once

#include "plantainhold/policy/EvictionCost.h"
#include "plantainhold/policy/FailureAttribution.h"
#include "plantainhold/policy/FairQueue.h"
#include "plantainhold/policy/Fleet.h"
#include "plantainhold/policy/KindStatistics.h"
#include "plantainhold/policy/Planner.h"
#include "plantainhold/policy/PolicyTask.h"
#include "plantainhold/policy/ServiceGuard.h"
#include "plantainhold/policy/WorkerQuarantine.h"

#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace plantainhold {

class Planner::State {
public:
    explicit State(const PlannerOptions& options);

    // The events and plan() of Planner. Not thread-safe.
    void workerUpdated(const WorkerObservation& observation, TimePoint now);
    void workerRemoved(std::string_view worker);
    void taskWaiting(const TaskRequest& request, TimePoint now);
    void taskRemoved(const std::string& task);
    void attemptStarted(const AttemptId& id, const TaskRequest& request, std::string_view worker, const Resources& reserved, TimePoint now);
    void placementFailed(const std::string& task, TimePoint now);
    void attemptEnded(const AttemptReport& last, TimePoint now);
    void sample(const AttemptReport& report, TimePoint now);
    Plan plan(TimePoint now);

    TeamAccounts& teams() { return m_teams; }
    std::size_t waitingTasks() const { return m_queue.size(); }
    std::size_t runningTasks() const { return m_tasks.size() - m_queue.size(); }

private:
    // A candidate worker and its score: the expected throughput gain in cores for batch
    // tasks, the spreading score for services.
    struct ScoredWorker {
        WorkerSlot worker = PolicyTask::s_noWorker;
        double score = 0;
    };

    // Records.
    PolicyTask& recordOf(const TaskRequest& request);
    PolicyTask* find(const std::string& task);
    void enqueue(PolicyTask& task, TimePoint now);
    void place(PolicyTask& task, WorkerSlot slot, const Resources& reserved, TimePoint now);
    void release(PolicyTask& task, TimePoint now);
    void forget(PolicyTask& task);

    // Learning.
    void learnUse(PolicyTask& task, const AttemptReport& report);
    void learnFromEnd(const PolicyTask& task, const AttemptReport& last, TimePoint now);
    void learnFailure(const PolicyTask& task, TimePoint now);
    void recordProbeOutcome(const PolicyTask& task, AttemptState state, TimePoint now);
    Resources demandOf(const PolicyTask& task) const;

    // Placement.
    void placeWaiting(Plan& plan, TimePoint now);
    bool tryPlace(PolicyTask& task, Plan& plan, TimePoint now);
    bool placeNominated(PolicyTask& task, const Resources& demand, Plan& plan, TimePoint now);
    bool placeProbe(PolicyTask& task, const Resources& demand, Plan& plan, TimePoint now);
    void commitPlacement(PolicyTask& task, WorkerSlot slot, const Resources& demand, std::string reason, Plan& plan, TimePoint now);
    ScoredWorker chooseWorker(const PolicyTask& task, const Resources& demand, TimePoint now);
    double minScore(const PolicyTask& task, double cores, TimePoint now) const;
    double scoreService(const PolicyTask& task, WorkerSlot slot) const;
    double scoreBatch(const PolicyTask& task, double cores, WorkerSlot slot, TimePoint now) const;
    bool leavesHeadroom(const PolicyTask& task, WorkerSlot slot, const Resources& demand) const;
    void chooseHeadroomWorker();
    bool reportImpossible(PolicyTask& task, Plan& plan, TimePoint now);
    std::string impossibleReason(const PolicyTask& task, TimePoint now);

    // Preemption.
    void preempt(PolicyTask& task, const Resources& demand, Plan& plan, TimePoint now);
    void withdrawNomination(PolicyTask& task);

    // Protection of services.
    void markDirty(WorkerSlot slot);
    void steerWorkers(Plan& plan, TimePoint now);
    void steer(WorkerSlot slot, Plan& plan, TimePoint now);
    void evictStalled(WorkerSlot slot, Plan& plan, TimePoint now);
    bool isWorthEvicting(const PolicyTask& task, TimePoint now) const;
    void requestCheckpoint(PolicyTask& task, Plan& plan, TimePoint now);
    void evict(PolicyTask& task, EventId event, std::string reason, Plan& plan, TimePoint now);
    void repeatEvictions(WorkerSlot slot, Plan& plan, TimePoint now);

    const PlannerOptions m_options;
    std::mt19937_64 m_random;
    NameTable m_kinds;
    TeamAccounts m_teams;
    Fleet m_fleet;
    FairQueue m_queue;
    KindStatistics m_kindStatistics;
    EvictionCost m_evictionCost;
    FailureAttribution m_failures;
    WorkerQuarantine m_quarantine;
    ServiceGuard m_guard;
    std::unordered_map<std::string, PolicyTask> m_tasks;
    std::vector<std::uint32_t> m_runningByKind;
    // The largest demand of urgent tasks and services seen so far, and the worker on
    // which batch tasks leave that much capacity free.
    Resources m_headroom;
    WorkerSlot m_headroomWorker = PolicyTask::s_noWorker;
    // Workers whose task speeds must be recomputed.
    std::vector<WorkerSlot> m_dirty;
    std::vector<bool> m_isDirty;
    std::vector<WorkerSlot> m_found;
    std::vector<PolicyNotice> m_notices;
    std::uint64_t m_nextSerial = 1;
    TimePoint m_fleetKnownSince;
    TimePoint m_lastRound;
    TimePoint m_lastCeilingNotice;
    bool m_hasChanged = false;
};

} // namespace plantainhold
