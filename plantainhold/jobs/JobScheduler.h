// Decides which task runs on which executor, for one partition of jobs and executors. It has no
// sockets and no clock: callers pass events in and take commands out.
//
// The central rule: no command is sent before the store holds the record of it. A run is chosen,
// recorded, and only then started; an end is applied, recorded, and only then acknowledged. So the
// next owner finds every run that may exist in the store, and can settle each of them by a report
// from its executor under a new fencing token.
//
// Usage: call restoreLearned() and submit() for stored state, executorListed() for executors. After
// each event call advance(), store the batch of takeBatch(), call committed(), and carry out the
// result of takeCommands().
#pragma once

#include "plantainhold/base/EventSink.h"
#include "plantainhold/jobs/ActiveExecutor.h"
#include "plantainhold/jobs/ActiveJob.h"
#include "plantainhold/jobs/AdvicePort.h"
#include "plantainhold/jobs/BestEffortPacer.h"
#include "plantainhold/jobs/CrashEvidence.h"
#include "plantainhold/jobs/EvacuationTable.h"
#include "plantainhold/jobs/ExecutorCommand.h"
#include "plantainhold/jobs/FleetLoad.h"
#include "plantainhold/jobs/JobPrioritizer.h"
#include "plantainhold/jobs/KeptState.h"
#include "plantainhold/jobs/LearnedState.h"
#include "plantainhold/jobs/LocalityGate.h"
#include "plantainhold/jobs/OwnerTerm.h"
#include "plantainhold/jobs/PlacementCandidates.h"
#include "plantainhold/jobs/PlacementNeeds.h"
#include "plantainhold/jobs/PlacementRound.h"
#include "plantainhold/jobs/Queue.h"
#include "plantainhold/jobs/RunEventLog.h"
#include "plantainhold/jobs/SchedulerCounters.h"
#include "plantainhold/jobs/SchedulerLimits.h"
#include "plantainhold/jobs/Suspicion.h"
#include "plantainhold/jobs/WaitingTaskMonitor.h"

#include <deque>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace plantainhold {

struct StoredJob;

class JobScheduler {
public:
    // The generation of this ownership forms the high bits of every fencing token. `former` is the
    // last record of the former owner and bounds how long its leases can last, counted from `now`: the
    // store must have refused the former owner's records before. No method of this class is thread-safe.
    JobScheduler(const SchedulerLimits& limits, std::uint64_t generation, const OwnerTerm& former, EventSink& events, TimePoint now);
    ~JobScheduler();
    JobScheduler(const JobScheduler&) = delete;
    JobScheduler& operator=(const JobScheduler&) = delete;

    // Key, among the progress records, of the learned state. takeBatch() adds the record from time to time.
    static constexpr std::string_view s_learnedKey = "@learned";
    void restoreLearned(const LearnedState& state);
    // Sets the queues and services in force. Jobs of a queue that it does not name keep their settings.
    void configure(std::shared_ptr<const FleetConfig> config);
    // Adds a job that was read from the store, with its progress, if any. Repeated calls have no effect.
    void submit(std::string_view id, const StoredJob& job, TimePoint now);
    // Cancels the job permanently. Repeated calls have no effect.
    void cancel(std::string_view id, TimePoint now);

    // Processes an entry in the list of executors that appeared or changed.
    void executorListed(const ExecutorEntry& entry, TimePoint now);
    // Processes the removal of an entry. Runs on the executor may continue until its lease expires.
    void executorUnlisted(std::string_view id, TimePoint now);
    // Starts nothing more in data centres that are evacuated, from this call on. Runs there go on.
    void evacuate(const EvacuationTable& table, TimePoint now);

    // True if nothing runs on the executor and all its ends are acknowledged, so that it need not be polled until it
    // is given work.
    bool isIdle(std::string_view id) const;
    // Returns the next report request to an executor; std::nullopt if the executor is not known. The request extends
    // the executor's lease once termRecorded() was called.
    std::optional<ReportRequest> nextReport(std::string_view id, TimePoint now);
    void reported(std::string_view id, const ReportRequest& request, const ExecutorReport& report, const CallResult& result, TimePoint now);
    void reportFailed(std::string_view id, const ReportRequest& request, const CallResult& result, TimePoint now);

    // Returns the fencing token and lease for a command that is about to be sent; std::nullopt if the command is no
    // longer wanted.
    struct SendParameters {
        std::uint64_t token = 0;
        std::int64_t deadlineMs = 0;
    };
    std::optional<SendParameters> prepareSend(const ExecutorCommand& command, TimePoint now);
    void commandFinished(const ExecutorCommand& command, const CallResult& result, TimePoint now);

    // Places tasks, preempts, expires leases. Call after events, and no later than at the returned time.
    TimePoint advance(TimePoint now, std::int64_t nowUnixMs);

    // Returns what the next owner needs to know, provided that this one does nothing afterwards.
    OwnerTerm release(TimePoint now);
    // Returns the record of this term as it is now, to be stored at its beginning, as it hands on what the former
    // owner's record says. takeBatch() adds it when leases that last longer than usual begin or end.
    OwnerTerm recordTerm(TimePoint now);

    // To be called when the record that begins this term is stored. Before that no lease is extended, because the
    // next owner would take the leases of the term before this one for the last.
    void termRecorded() { m_isTermRecorded = true; }
    CommitBatch takeBatch(TimePoint now);
    // To be called when the records of the batch are stored, but for those of the `refused` keys, which the store
    // does not take. What depends on these waits, and they are returned again after a while.
    void committed(const CommitBatch& batch, TimePoint now, std::span<const std::string> refused = {});
    // To be called when all records of such jobs, CommitBatch::droppedJobs, are deleted.
    void jobsDropped(std::span<const std::string> ids, TimePoint now);
    // To be called if records of such jobs could not be deleted: they are dropped again after a while.
    void dropLater(std::span<const std::string> ids, TimePoint now);
    // Returns the ids of jobs that submit() passed over because jobs with these ids had been dropped shortly before.
    // Those that are in the records by now are to be submitted once more.
    std::vector<std::string> takeSubmittedAgain();
    // Returns the advice requests since the last call. Each must be followed by adviceReceived().
    std::vector<AdviceRequest> adviceRequests();
    // False if no task of the step waits any more.
    bool isAdviceWanted(const AdviceRequest& request);
    void adviceReceived(const AdviceRequest& request, const Advice& advice, TimePoint now);
    // Returns the commands since the last call.
    std::vector<ExecutorCommand> takeCommands();

    // Returns the state of an executor, such as its address; nullptr if it is not known.
    const ActiveExecutor* executor(std::string_view id) const;
    std::vector<std::string> executorIds() const;
    // Increases when an executor appears, disappears, restarts or changes its entry.
    std::uint64_t executorsVersion() const { return m_executorsVersion; }
    std::size_t activeJobs() const { return m_jobs.size(); }
    // Returns how much is kept of jobs that have not ended.
    KeptState kept() const;
    std::size_t waitingTasks() const;
    // Logs the load of the partition to the event sink.
    void logState(TimePoint now) const;
    const SchedulerCounters& counters() const { return m_counters; }

private:
    // Low bits of a token, numbered within one generation. A term with more tokens than that would reach into the
    // range of the next generation.
    static constexpr unsigned s_tokenBits = 24;
    void applySettings(ActiveJob& job);
    void forgetDroppedJobs(TimePoint now);
    // Returns, by job, the runs that were given up while it isn't known whether their executors crashed.
    std::unordered_map<std::string_view, std::vector<const ExpiredRun*>> unsettledRunsByJob() const;
    // Adds those of the job to its progress.
    static void addUnsettledRuns(JobProgress& progress, std::span<const ExpiredRun* const> runs);
    void restoreUnsettledRuns(ActiveTask& task, const TaskProgress& progress, TimePoint now);
    // Clears checkpoints that are too large for a record.
    void omitLargeCheckpoints(JobProgress& progress, const ActiveJob& job);
    // Names the executor in the record if its lease may last longer than the next owner would assume.
    void addLongLease(OwnerTerm& term, const std::string& executor, std::int64_t startedUnixMs, TimePoint expiresAt, TimePoint now) const;
    // Names those of the former owner's record that are not known to this one: they may appear.
    void handOnFormerLeases(OwnerTerm& term, TimePoint now) const;
    bool isLeaseLong(TimePoint expiresAt, TimePoint now) const;
    // Returns whether the record of the term no longer says what the next owner has to know, or far too much.
    bool isTermRecordDue(TimePoint now) const;
    // Notes that the executor has shown that it has the run.
    void noteSeen(ActiveRun& run, TimePoint now);
    // Keeps a job from its next records and starts for a while, since the store does not take one of its records.
    void hold(ActiveJob& job, TimePoint now);
    void startRecorded(const CommitBatch::Start& start);
    // Ends up to the number are stored, but for those of jobs that are held.
    void noteRecordedEnds(const CommitBatch::Acknowledgement& acknowledgement, std::span<const ActiveJob* const> held);
    void restore(ActiveJob& job, const JobProgress& progress, TimePoint now);
    void restoreTask(ActiveJob& job, const TaskProgress& progress, TimePoint now);
    ActiveExecutor& executorFor(const std::string& id, std::int64_t startedUnixMs);
    // See ActiveJob::wantsOccurrence().
    void openDueOccurrences(TimePoint now, std::int64_t nowUnixMs);
    // Opens, resumes or suspends one occurrence of the job. Returns false once there is none to.
    bool changeOpenOccurrences(ActiveJob& job, TimePoint now, std::int64_t nowUnixMs);

    void addRun(ActiveTask& task, ActiveExecutor& executor, RunPhase phase, TimePoint now);
    // Removes the task's run; the task waits again unless it is done.
    void endRun(ActiveTask& task, TimePoint now);
    // Removes the run and what it reserves, and nothing else.
    void removeRun(ActiveTask& task);
    void refreshReady(ActiveStep& step);
    void refreshOccurrence(ActiveOccurrence& occurrence);
    void markDirty(ActiveJob& job);
    void markStarted(ActiveJob& job);
    void finish(ActiveJob& job, JobState state, TimePoint now);

    void applyEnd(ActiveExecutor& executor, const ReportedEnd& end, TimePoint now);
    // Handles a run that had been given up, for example because its lease expired, but completed.
    void applyEarlierCompletion(ActiveTask& task, const ActiveExecutor& executor, const ReportedEnd& end, TimePoint now);
    void acceptEarlierCompletion(ActiveTask& task);
    void completeJobs(TimePoint now);
    void applyTaskEnd(ActiveTask& task, ActiveExecutor& executor, const ReportedEnd& end, TimePoint now);
    void applyReportedRun(ActiveExecutor& executor, const ReportedRun& reportedRun, TimePoint now);
    // Stops a reported run that should not exist, again after a while if it is still reported.
    void stopStrayRun(ActiveExecutor& executor, const ReportedRun& reportedRun, TimePoint now);
    void noteUnexpectedRun(const ActiveExecutor& executor, const ReportedRun& reportedRun);
    void resolveMissingRuns(ActiveExecutor& executor, const ReportRequest& request, const ExecutorReport& report, TimePoint sentAt, TimePoint now);
    // Notes that this incarnation has reported, so that the one that reported before is over.
    void noteReporting(ActiveExecutor& executor, std::int64_t startedUnixMs, TimePoint now);
    static void addFormer(ActiveExecutor& executor, std::int64_t startedUnixMs);
    // Logs that something which the executor said of itself in this incarnation was not applied.
    void noteIgnored(const ActiveExecutor& executor, std::int64_t startedUnixMs, std::string_view source);
    // Takes another incarnation of the executor for the present one. Its runs stay until a report or the lease proves
    // that they are over. A report proves that the incarnation known so far is over; the list may be out of date.
    enum class RestartSource : std::uint8_t { List,
        Report };
    void handleRestart(ActiveExecutor& executor, std::int64_t startedUnixMs, RestartSource source, TimePoint now);
    // Handles a response from another executor at the address that was called.
    void handleReplacement(ActiveExecutor& executor, const CallResult& result, TimePoint now);
    void noteReplacement(const ActiveExecutor& executor, const CallResult& result, TimePoint now);
    // Returns whether a response of another executor proves that the incarnation with the run is gone.
    bool isGoneFrom(const ActiveRun& run, const CallResult& result) const;
    // Notes that all incarnations of the executor but this one are over, without having announced it. Each run that
    // may have begun in one of them counts the crash when it is lost. `hasSuspect` tells whether a task whose run
    // there was given up before may be the cause, and `hadExpiredRuns` whether there was such a run at all.
    void markCrash(ActiveExecutor& executor, std::int64_t survivor, bool hasSuspect, bool hadExpiredRuns, TimePoint now);
    void countCrash(ActiveTask& task, const ExpiredRun& run, TimePoint now);
    // Keeps what is known of a run whose lease has expired, for countExpired(), which counts the crash once the
    // executor has restarted or is forgotten; it may also have been cut off. Where such crashes could be too many for
    // the task, they count at once.
    void noteExpired(ActiveExecutor& executor, ActiveRun& run, TimePoint now);
    std::size_t countExpiredOf(const ActiveTask& task) const;
    // Counts the runs as crashes that have not outlasted their starts, if that could convict the task.
    void settleIfTooMany(ActiveTask& task, TimePoint now);
    void settleExpiredOf(ActiveTask& task, TimePoint now);
    // Returns whether the task of one of the runs has a crash that others of its moment do not explain.
    bool hasTaskWithOwnCrash(std::span<const ExpiredRun> runs);
    void countExpired(ActiveExecutor& executor, std::int64_t survivor, TimePoint now);
    // Decides about suspects once other crashes of the same moment are known.
    void judgeSuspects(TimePoint now);
    void judgeLater(ActiveTask& task, const Suspicion& suspicion);
    // Takes a crash back as a reason for suspicion, since it was one of several with a common cause.
    void explain(ActiveTask& task, CrashRelation relation, TimePoint now);
    void giveUp(ActiveTask& task, TimePoint now);
    // The run has been at work for so long that it is no cause of a crash.
    void proveRun(ActiveRun& run, TimePoint now);
    void clearSuspect(ActiveTask& task, TimePoint now);
    // Keeps other tasks away from the executor of a suspect, and lets them in again.
    void beginSeclusion(ActiveRun& run, TimePoint now);
    void endSeclusion(ActiveRun& run, std::string_view reason, TimePoint now);
    // Lets others in beside suspects that have outlasted the moment after their start, or have had their time.
    void endOverdueSeclusions(ActiveExecutor& executor, TimePoint now);
    // True if the task is a suspect that still waits to run alone, and before others of its step.
    static bool awaitsSeclusion(const ActiveTask& task, TimePoint now);
    // True if a crash of the executor soon after the start could be told from that of other runs there, or if the
    // task waits for that no longer.
    static bool isSecludedOn(const ActiveExecutor& executor, const ActiveTask& task, TimePoint now);
    // Ends a run without a reported end. `reportAge` is the time since the report that proves it was sent; zero if no
    // report does.
    void loseRun(ActiveRun& run, std::string_view reason, Milliseconds reportAge, TimePoint now);
    void expireLeases(TimePoint now);
    void loseExpiredRuns(ActiveExecutor& executor, TimePoint now);
    bool mayForget(const ActiveExecutor& executor, TimePoint now);
    // Precondition: the executor has no runs.
    void forget(std::size_t index, TimePoint now);
    void forgetNominations(const ActiveExecutor& executor);
    void learnDuration(const ActiveTask& task, ActiveExecutor& executor, TimePoint now);
    // Returns whether the executor may be avoided for the failures there, in view of how many others are.
    bool mayAvoid(const ActiveExecutor& executor, TimePoint now) const;
    void recordFailure(ActiveExecutor& executor, TimePoint now);

    void place(TimePoint now);
    // Places what can be placed of the step, and asks for advice about the rest.
    void consider(ActiveStep& step, TimePoint now);
    void requestAdvice(ActiveStep& step, TimePoint now);
    // Returns the executors that the step's next request names, best first; empty if no other executor could help.
    std::vector<const ActiveExecutor*> executorsToAskAbout(const ActiveStep& step, TimePoint now) const;
    // Remembers the answer for the next step of the queue.
    void noteAdvice(const ActiveStep& step, std::span<const std::string> executors, TimePoint now);
    // Returns nullptr if the job has ended.
    ActiveStep* stepOf(const AdviceRequest& request);
    // Tasks of the step may preempt those whose priority is a larger number than this.
    static std::int32_t preemptsAfter(const ActiveStep& step);
    void placeStep(ActiveStep& step, TimePoint now);
    // Places the task, or arranges that it is tried again or that room is made for it. Returns false if others like
    // it need not be tried in this round. Precondition: the task waits.
    bool placeOrAwait(ActiveTask& task, TimePoint now);
    void placeGang(ActiveStep& step, TimePoint now);
    // Assigns an executor to each member of the gang. Returns false if there are not enough, and then assigns none.
    bool assignGang(ActiveStep& step, TimePoint now);
    // Chooses an executor, assigns it to the task and records the run. Returns whether there was one.
    bool placeTask(ActiveTask& task, TimePoint now);
    // Reserves the task's resources on the best executor, under a run that nobody else learns of until recordRun();
    // removeRun() undoes it. Returns false if no executor can run the task now.
    bool assignExecutor(ActiveTask& task, TimePoint now);
    // Numbers the run that was assigned, and has it stored and then started.
    void recordRun(ActiveTask& task, TimePoint now);
    PlacementNeeds needsOf(const ActiveTask& task, TimePoint now);
    // Includes the capacity that is held for the task there.
    static Resources freeCapacityFor(const ActiveExecutor& executor, const ActiveTask& task, const PlacementNeeds& needs);
    // True if a starved task may be placed on the executor under relaxed conditions.
    static bool isStarvedOn(const ActiveExecutor& executor, const PlacementNeeds& needs);
    // Returns what keeps the task from the executor, apart from the pressure that it would cause.
    PlacementObstacle obstacleOn(const ActiveExecutor& executor, const ActiveTask& task, const PlacementNeeds& needs, TimePoint now) const;
    // Returns the pressure on latency-critical tasks; none for a task that does not slow them down.
    BestEffortPacer::Pressure pressureOn(ActiveExecutor& executor, const PlacementNeeds& needs);
    void reportStalledTasks(TimePoint now);
    // Returns std::nullopt if the task cannot run there now. The lowest cost is best.
    std::optional<double> placementCost(ActiveExecutor& executor, const ActiveTask& task, const PlacementNeeds& needs, TimePoint now);
    // Returns nullptr if no executor can run the task now. Only executors that changed in the given round or later
    // are considered.
    ActiveExecutor* chooseExecutor(const ActiveTask& task, std::uint64_t changedSince, TimePoint now);
    bool preemptFor(ActiveTask& task, TimePoint now);
    // Notes that something changed which may let a task run on the executor.
    void noteChange(ActiveExecutor& executor) { executor.changedInRound = m_round.number(); }
    void clearNomination(ActiveTask& task);
    // Releases capacity that was held for a task for too long, whether or not the task is considered meanwhile.
    void expireNominations(TimePoint now);
    void drainExecutors(TimePoint now);
    void moveSlowedRuns(TimePoint now);
    // Returns when the task is placed despite heavy pressure, or despite the demand of short tasks; max() if never.
    TimePoint starvedSince(const ActiveTask& task) const;
    void sendPaces(ActiveExecutor& executor, TimePoint now);
    void requestStop(ActiveRun& run, TimePoint now);
    void fence(ActiveExecutor& executor);
    // Returns when leases of former owners have expired on an executor that this owner has not reached yet.
    TimePoint formerLeaseExpiry(std::string_view id) const;
    // Sets the lease that an incarnation unknown to a former owner may have granted to a restored run.
    void restoreUnseenLease(ActiveRun& run);
    // Notes that an incarnation has confirmed this term's newest token, and carries out no older call from now on.
    void noteFenced(ActiveExecutor& executor, TimePoint now);
    // Notes for how long restored runs on an executor that does not respond count as running.
    void noteAwaitedLease(const ActiveExecutor& executor, TimePoint now);
    // Returns how long the executor may wait for an end before it sends its next report.
    Milliseconds reportWait(const ActiveExecutor& executor) const;
    std::int64_t extendLease(ActiveExecutor& executor, TimePoint now);
    // For a call that extends the lease, also that of an incarnation which the owner does not know of.
    void extendUnseenLeases(ActiveExecutor& executor, TimePoint now);
    // Returns whether the incarnation that reported last can have shown this clock in its response to a call; the
    // clock of another one started anew.
    bool fitsClock(const ActiveExecutor& executor, std::int64_t clockMs, TimePoint sentAt, TimePoint now) const;
    // Returns when the longest lease that the platform grants has expired, if it was granted at this time. An
    // incarnation whose clock started anew grants it to a deadline on the former clock.
    TimePoint longestLeaseFrom(TimePoint when) const;
    // Returns how long the time may last if it is measured by an executor's clock.
    Milliseconds longestOnOurClock(Milliseconds time) const;
    void wakeAt(TimePoint when);

    const SchedulerLimits m_limits;
    EventSink& m_events;
    RunEventLog m_runEvents;
    WaitingTaskMonitor m_waitingTaskMonitor;
    const std::uint64_t m_generation;
    // Number of executors on which tasks of both kinds run, as of the last round.
    std::ptrdiff_t m_sharedExecutors = 0;
    // The highest fencing token given to any executor.
    std::uint64_t m_lastToken;
    const TimePoint m_claimedAt;
    const OwnerTerm m_former;
    bool m_isTermRecorded = false;
    // When the record of the term was made last, and until when the leases last that it names, by executor.
    TimePoint m_termRecordedAt {};
    std::unordered_map<std::string, TimePoint> m_recordedLeases;
    std::shared_ptr<const FleetConfig> m_config;
    EvacuationTable m_evacuations;
    std::unordered_map<std::string, std::unique_ptr<ActiveJob>> m_jobs;
    // Ended jobs whose records are to be deleted, by time.
    std::multimap<TimePoint, std::string> m_finished;
    // When jobs ended, until some time after their records were deleted; and when that time is over.
    std::unordered_map<std::string, TimePoint> m_finishedAt;
    std::multimap<TimePoint, std::string> m_forgetAt;
    // Ids submitted during that time, and those of them whose time is over.
    std::unordered_set<std::string> m_submittedAgain;
    std::vector<std::string> m_readAgain;
    std::unordered_map<std::string, std::unique_ptr<ActiveExecutor>> m_executors;
    std::vector<ActiveExecutor*> m_executorList;
    std::unordered_set<ActiveStep*> m_ready;
    // Tasks for which capacity is held.
    std::unordered_set<ActiveTask*> m_nominatedTasks;
    BestEffortPacer m_pacer;
    JobPrioritizer m_prioritizer;
    LocalityGate m_locality;
    PlacementRound m_round;
    // Candidates for the step that is being placed.
    PlacementCandidates m_candidates;
    FleetLoad m_load;
    std::vector<ActiveJob*> m_dirty;
    std::vector<CommitBatch::Start> m_starts;
    std::vector<std::string> m_dropped;
    std::vector<ExecutorCommand> m_commands;
    std::vector<AdviceRequest> m_adviceRequests;
    std::vector<ActiveJob*> m_timed;
    // Crashes about whose tasks is not decided yet, by time.
    std::deque<Suspicion> m_suspicions;
    CrashSeries m_crashSeries;
    // Ids of jobs that may have become complete.
    std::vector<std::string> m_possiblyComplete;
    std::uint64_t m_nextSerial = 1;
    std::uint64_t m_executorsVersion = 1;
    TimePoint m_wakeAt {};
    bool m_needsPlacement = true;
    TimePoint m_placedAt {};
    TimePoint m_placedAllAt {}; // All executors were looked at for all tasks.
    // When a waiting task may be placed under relaxed conditions; max() if never.
    TimePoint m_placeAgainAt = TimePoint::max();
    TimePoint m_learnedStoredAt {};
    SchedulerCounters m_counters;
};

} // namespace plantainhold
