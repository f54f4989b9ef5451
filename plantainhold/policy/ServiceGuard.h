// Protects the guarded services of each worker: learns from their samples, says
// what a batch task would be worth beside them, and steers the speeds of batch
// tasks so that the predicted slowdown stays within each objective.
#pragma once

#include "plantainhold/policy/ColocationHistory.h"
#include "plantainhold/policy/Estimate.h"
#include "plantainhold/policy/InterferenceModel.h"
#include "plantainhold/policy/WorkerIndex.h"
#include "plantainhold/ports/Clock.h"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace plantainhold {

class Fleet;
class SpeedProblem;
struct AttemptReport;
struct PolicyTask;

// A speed that a batch task should run at from now on.
struct SpeedDecision {
    PolicyTask* task = nullptr;
    std::uint32_t percent = 100;
    // The service that bounds it, null when none is protected there any more, and the slowdown that was predicted for it at full speed.
    const PolicyTask* service = nullptr;
    double predictedSlowdown = 0;
};

class ServiceGuard {
public:
    // The fleet must outlive the guard. Not thread-safe, as the class.
    explicit ServiceGuard(const Fleet& fleet);

    // An attempt runs, or is over. Precondition: the task is placed.
    void taskStarted(const PolicyTask& task, TimePoint now);
    void taskEnded(const PolicyTask& task, TimePoint now);
    // Precondition: the task is placed, and its fields already hold this report.
    void sample(const PolicyTask& task, const AttemptReport& report, TimePoint now);

    // Worth at work that the worker gains, in cores, if a task of the kind with so
    // many busy cores joins at the best speeds; services that it would harm count against it.
    double throughputGain(WorkerSlot slot, NameId kind, double cores, TimePoint now) const;
    bool protectsServices(WorkerSlot slot) const;

    // Decides speeds on one worker, and notes them as being in force.
    std::vector<SpeedDecision> steer(WorkerSlot slot, TimePoint now);

    // Speed that was last decided, in percent.
    std::uint32_t speedOf(const PolicyTask& task) const;
    // How long the task has been so slow that it mostly takes room from others.
    Milliseconds stalledFor(const PolicyTask& task, TimePoint now) const;
    // The batch task that presses most on a service whose objective is out of
    // reach even with all neighbours at their least speed; null when there is none.
    PolicyTask* highestPressureTask(WorkerSlot slot, TimePoint now);

private:
    struct PairDeviation {
        std::uint64_t serial;
        Estimate estimate;
    };
    struct ServiceState {
        Estimate bias;
        double load = 0;
        // Change of the load a second, smoothed.
        double trend = 0;
        TimePoint startedAt;
        TimePoint sampledAt;
        bool hasSample = false;
        std::vector<PairDeviation> deviations;
    };
    struct BatchState {
        std::uint32_t percent = 100;
        TimePoint changedAt;
        // Since when it is at an idle speed.
        TimePoint stalledSince = TimePoint::max();
    };
    // What the worker runs, as a problem to solve.
    struct Colocation;

    Colocation colocationOf(WorkerSlot slot, TimePoint now) const;
    void addBatch(Colocation& colocation, NameId kind, double cores, std::uint64_t serial) const;
    void sampleService(const PolicyTask& task, const AttemptReport& report, TimePoint now);
    void sampleBatch(const PolicyTask& task, const AttemptReport& report, TimePoint now);
    void updateLoadTrend(ServiceState& state, double load, TimePoint takenAt) const;
    double forecastLoad(const ServiceState& state, TimePoint now) const;
    Estimate& deviationOf(ServiceState& state, NameId serviceKind, const ColocationHistory::TaskUsage& usage);
    std::uint32_t applyHysteresis(const BatchState& state, double share, TimePoint now) const;

    const Fleet& m_fleet;
    InterferenceModel m_model;
    ColocationHistory m_history;
    // By the serial of the placement.
    std::unordered_map<std::uint64_t, ServiceState> m_services;
    std::unordered_map<std::uint64_t, BatchState> m_batch;
    // Since when each worker's services cannot be helped by speeds.
    std::unordered_map<WorkerSlot, TimePoint> m_overloadedSince;
};

} // namespace plantainhold
