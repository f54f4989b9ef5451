// Decides which task runs where, for one partition of jobs and executors. Pure:
// events in, orders out; no sockets and no clock of its own.
//
// The one idea: nothing is sent before the store holds the record of it. A run is
// chosen, recorded, and only then ordered; an end is applied, recorded, and only
// then acknowledged. So an heir finds in the store every run that may exist, and a
// fenced report from an executor settles each of them.
//
// Usage: restore() and submit() the jobs, tell of executors, then after each event
// take a batch, store it, say committed(), and carry out what orders() returns.
#pragma once

#include "plantainhold/base/EventSink.h"
#include "plantainhold/jobs/ActiveExecutor.h"
#include "plantainhold/jobs/ActiveJob.h"
#include "plantainhold/jobs/AdvicePort.h"
#include "plantainhold/jobs/BestEffortPacer.h"
#include "plantainhold/jobs/ExecutorCommand.h"
#include "plantainhold/jobs/JobPrioritizer.h"
#include "plantainhold/jobs/LearnedState.h"
#include "plantainhold/jobs/OwnerTerm.h"
#include "plantainhold/jobs/PlacementCandidates.h"
#include "plantainhold/jobs/PlacementNeeds.h"
#include "plantainhold/jobs/PlacementRound.h"
#include "plantainhold/jobs/Queue.h"
#include "plantainhold/jobs/RunEventLog.h"
#include "plantainhold/jobs/SchedulerLimits.h"

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace plantainhold {

struct StoredJob;

struct SchedulerCounters {
    std::uint64_t runsAssigned = 0;
    std::uint64_t ends = 0;
    std::uint64_t preemptions = 0;
    std::uint64_t rejectedStarts = 0;
    std::uint64_t unknownStarts = 0;
    std::uint64_t lostRuns = 0;
};

class JobScheduler {
public:
    // The generation of ownership leads every fencing token. The former owner's last
    // record tells how long its orders may have effect. Not thread-safe, as the whole class.
    JobScheduler(const SchedulerLimits& limits, std::uint64_t generation, const OwnerTerm& former, EventSink& events, TimePoint now);
    ~JobScheduler();
    JobScheduler(const JobScheduler&) = delete;
    JobScheduler& operator=(const JobScheduler&) = delete;

    // Key, among the progress of jobs, of what was learned; takeBatch() adds the record now and then.
    static constexpr std::string_view s_learnedKey = "@learned";
    void restoreLearned(const LearnedState& state);
    // Queues and services in force. Jobs of a queue that was dropped keep its last settings.
    void configure(std::shared_ptr<const FleetConfig> config);
    // A job was read from the store; takes up its progress, if any. Repeats change nothing.
    void submit(std::string_view id, const StoredJob& job, TimePoint now);
    // The job is cancelled for good. Repeats change nothing.
    void cancel(std::string_view id, TimePoint now);

    // An entry in the list of executors appeared or changed.
    void executorListed(const ExecutorEntry& entry, TimePoint now);
    // The entry is gone; what runs there may go on until its lease is over.
    void executorUnlisted(std::string_view id, TimePoint now);

    // Nothing runs on the executor and it has nothing left to tell, so that it need
    // not be asked until it is given work.
    bool isIdle(std::string_view id) const;
    // The next report call to an executor; null when it is not known. Extends its lease.
    std::optional<ReportRequest> nextReport(std::string_view id, TimePoint now);
    void reported(std::string_view id, const ReportRequest& request, const ExecutorReport& report, TimePoint sentAt, TimePoint now);
    void reportFailed(std::string_view id, const ReportRequest& request, CommandResult outcome, TimePoint now);

    // Token and lease for an order that is about to be sent; nothing when it is no longer wanted.
    struct SendParameters {
        std::uint64_t token = 0;
        std::int64_t deadlineMs = 0;
    };
    std::optional<SendParameters> prepareSend(const ExecutorCommand& command, TimePoint now);
    void commandFinished(const ExecutorCommand& command, CommandResult outcome, TimePoint sentAt, TimePoint now);

    // Places, preempts, paces, expires. Call after events, and at the time that it returns at the latest.
    TimePoint advance(TimePoint now, std::int64_t nowUnixMs);

    // What the next owner has to know, if this one does nothing from now on.
    OwnerTerm release(TimePoint now);

    CommitBatch takeBatch(TimePoint now);
    void committed(const CommitBatch& batch, TimePoint now);
    // Questions for advice since the last call; each is answered by advised().
    std::vector<AdviceRequest> adviceRequests();
    void adviceReceived(const AdviceRequest& request, const Advice& advice, TimePoint now);
    // Orders since the last call.
    std::vector<ExecutorCommand> takeCommands();

    // Where each executor is, for whoever calls them.
    const ActiveExecutor* executor(std::string_view id) const;
    std::vector<std::string> executorIds() const;
    // Rises when an executor comes, goes, starts again or changes its entry.
    std::uint64_t executorsVersion() const { return m_executorsVersion; }
    std::size_t activeJobs() const { return m_jobs.size(); }
    std::size_t waitingTasks() const;
    // Tells the sink how full the partition is.
    void logState(TimePoint now) const;
    const SchedulerCounters& counters() const { return m_counters; }

private:
    void restore(ActiveJob& job, const JobProgress& progress, TimePoint now);
    void restoreTask(ActiveJob& job, const TaskProgress& progress, TimePoint now);
    ActiveExecutor& executorFor(const std::string& id, std::int64_t startedUnixMs);
    void applyDueTimes(TimePoint now, std::int64_t nowUnixMs);

    void addRun(ActiveTask& task, ActiveExecutor& executor, RunPhase phase, TimePoint now);
    // The task's run is over; it waits again unless it is done.
    void endRun(ActiveTask& task, TimePoint now);
    void refreshReady(ActiveStep& step);
    void refreshOccurrence(ActiveOccurrence& occurrence);
    void markDirty(ActiveJob& job);
    void markStarted(ActiveJob& job);
    void finish(ActiveJob& job, JobState state, TimePoint now);

    void applyEnd(ActiveExecutor& executor, const EndRow& end, TimePoint now);
    // A run that was given up, such as one whose lease was over, had ended well.
    void applyEarlierCompletion(ActiveTask& task, const ActiveExecutor& executor, const EndRow& end, TimePoint now);
    void acceptEarlierCompletion(ActiveTask& task);
    void completeJobs(TimePoint now);
    void applyTaskEnd(ActiveTask& task, ActiveExecutor& executor, const EndRow& end, TimePoint now);
    void applyRow(ActiveExecutor& executor, const RunRow& row, TimePoint sentAt, TimePoint now);
    void resolveAbsent(ActiveExecutor& executor, const ReportRequest& request, const ExecutorReport& report, TimePoint sentAt, TimePoint now);
    void handleRestart(ActiveExecutor& executor, std::int64_t startedUnixMs, TimePoint now);
    // Another executor has its address.
    void handleReplacement(ActiveExecutor& executor, TimePoint now);
    void loseRuns(ActiveExecutor& executor, std::string_view reason, TimePoint now);
    void expireLeases(TimePoint now);
    void forgetNominations(const ActiveExecutor& executor);
    void learnDuration(const ActiveTask& task, ActiveExecutor& executor, TimePoint now);
    void recordFailure(ActiveExecutor& executor, TimePoint now);

    void place(TimePoint now);
    void requestAdvice(ActiveStep& step, TimePoint now);
    void placeStep(ActiveStep& step, TimePoint now);
    void placeGang(ActiveStep& step, TimePoint now);
    bool placeTask(ActiveTask& task, TimePoint now);
    PlacementNeeds needsOf(const ActiveTask& task, TimePoint now);
    // Nothing where the task cannot run now; the lowest cost is best.
    std::optional<double> placementCost(ActiveExecutor& executor, const ActiveTask& task, const PlacementNeeds& needs, TimePoint now);
    // Null when there is no place.
    ActiveExecutor* chooseExecutor(const ActiveTask& task, TimePoint now, double& cost);
    bool preemptFor(ActiveTask& task, TimePoint now);
    void clearNomination(ActiveTask& task);
    void evacuate(TimePoint now);
    void moveSlowedRuns(TimePoint now);
    void updateShortTaskDemand(TimePoint now);
    // Room that short tasks can use; what is left in pieces smaller than a task does not count.
    std::int64_t shortTaskCapacity(const ActiveExecutor& executor, const Resources& without) const;
    void sendPaces(ActiveExecutor& executor, TimePoint now);
    void requestStop(ActiveRun& run, TimePoint now);
    void fence(ActiveExecutor& executor);
    // When orders of former owners have no effect any more on an executor that was not asked yet.
    TimePoint formerLeaseExpiry(std::string_view id, std::int64_t startedUnixMs) const;
    std::int64_t extendLease(ActiveExecutor& executor, TimePoint now);
    void wakeAt(TimePoint when);

    const SchedulerLimits m_limits;
    EventSink& m_events;
    RunEventLog m_runEvents;
    const std::uint64_t m_generation;
    // The highest token that was given to any executor.
    std::uint64_t m_lastToken;
    const TimePoint m_ownedSince;
    const OwnerTerm m_former;
    std::shared_ptr<const FleetConfig> m_config;
    std::unordered_map<std::string, std::unique_ptr<ActiveJob>> m_jobs;
    // Ended jobs whose records are to be dropped, by time.
    std::multimap<TimePoint, std::string> m_finished;
    std::unordered_map<std::string, TimePoint> m_finishedAt;
    std::unordered_map<std::string, std::unique_ptr<ActiveExecutor>> m_executors;
    std::vector<ActiveExecutor*> m_executorList;
    std::unordered_set<ActiveStep*> m_ready;
    BestEffortPacer m_pacer;
    JobPrioritizer m_prioritizer;
    PlacementRound m_round;
    // Of the step that is being placed.
    PlacementCandidates m_candidates;
    // Processors that short tasks use or ask for, smoothed: lasting tasks leave them room.
    double m_shortTaskDemand = 0;
    double m_shortTaskSize = 0;
    TimePoint m_shortTaskDemandAt {};
    std::int64_t m_shortTaskCapacity = 0;
    std::vector<ActiveJob*> m_dirty;
    std::vector<CommitBatch::Start> m_starts;
    std::vector<std::string> m_dropped;
    std::vector<ExecutorCommand> m_commands;
    std::vector<AdviceRequest> m_adviceRequests;
    std::vector<ActiveJob*> m_timed;
    // Ids of jobs that may have become complete.
    std::vector<std::string> m_possiblyComplete;
    std::uint64_t m_nextSerial = 1;
    std::uint64_t m_executorsVersion = 1;
    TimePoint m_wakeAt {};
    bool m_needsPlacement = true;
    TimePoint m_placedAt {};
    // When a waiting task may be placed under easier terms.
    TimePoint m_placeAgainAt = TimePoint::max();
    TimePoint m_learnedStoredAt {};
    SchedulerCounters m_counters;
};

} // namespace plantainhold
