// RunLedger records what executors and clients saw and checks the rules against it. It
// knows nothing of what an instance believes: a run exists from its start on an executor
// until its end there.
#pragma once

#include "plantainhold/ports/Clock.h"
#include "standin/soak/SoakLog.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace plantainhold::soak {

enum class Rule : std::uint8_t {
    Twice,
    Lost,
    Unasked,
    Refused,
    Mixed,
    Limit,
    Budget,
};

std::string_view nameOf(Rule rule);

struct Violation {
    Rule rule;
    std::string text;
};

enum class RunEnd : std::uint8_t {
    Done,
    Stopped,
    LeaseLapsed,
    // The executor crashed; nobody is told of this end.
    ExecutorGone,
};

std::string_view nameOf(RunEnd end);

struct RunStart {
    // ID.OCCURRENCE.STEP.INDEX
    std::string task;
    std::uint32_t number = 0;
    std::string payload;
    std::string executor;
    // When this incarnation of the executor started, in Unix milliseconds.
    std::int64_t bornUnixMs = 0;
    std::uint64_t token = 0;
};

// What a client was told about a job.
enum class JobAnswer : std::uint8_t {
    Open,
    Completed,
    Failed,
    Cancelled,
    Unknown,
};

// The room of all executors that are up and what it holds, in runs.
struct FleetRoom {
    std::size_t capacity = 0;
    std::size_t running = 0;
};

class RunLedger {
public:
    using RunId = std::size_t;
    // Describes who sent the order with a fencing token.
    using SenderOf = std::function<std::string(std::uint64_t token)>;

    // The log must outlive the ledger. The class is not thread-safe.
    RunLedger(SoakLog& log, SenderOf senderOf);

    // What executors see. A run that has ended must not end again.
    RunId runStarted(RunStart start, TimePoint now);
    // The start brought an executor that does not enforce its capacity to more runs than it has room for.
    void startedOverCapacity(RunId run, std::size_t runs, std::size_t room);
    void stopOrdered(RunId run);
    void runEnded(RunId run, RunEnd end);
    void endAcknowledged(RunId run);
    // The executor's lease expired before this end was acknowledged, so the acknowledgement
    // will not count.
    void endExcused(RunId run);

    // What clients see. A job must be submitted before anything else is reported about it.
    // Its deadly task, if there is one, crashes each executor that starts it.
    void jobSubmitted(const std::string& job, std::string payload, std::uint32_t tasks, std::string deadlyTask = {});
    // Its tasks run until the job is cancelled.
    void longRunningJobSubmitted(const std::string& job, std::string payload, std::uint32_t tasks);
    void submissionOpen(const std::string& job);
    void submissionAccepted(const std::string& job, TimePoint now);
    void submissionRejected(const std::string& job);
    // No response: the job may have been accepted, or may still be.
    void submissionUncertain(const std::string& job);
    void cancelRequested(const std::string& job);
    void cancelAcknowledged(const std::string& job, TimePoint now);
    void jobShown(const std::string& job, JobAnswer answer, bool isInstanceInTouch, TimePoint now);

    // Since when no fault is active; std::nullopt while one is.
    void setCalmSince(std::optional<TimePoint> since) { m_calmSince = since; }
    // An executor has crashed or started, whether as a fault or because of a deadly task.
    void fleetChanged(TimePoint now) { m_fleetChangedAt = now; }
    // No fault is active and no job is submitted from now on.
    void trafficEnded(TimePoint now) { m_trafficEndedAt = now; }
    // Checks that tasks of cancelled jobs have stopped. To be called several times a second.
    void checkCancelled(TimePoint now);
    // Checks that no job and no long-running task waits while there is room for it. To be
    // called several times a second.
    void checkWaiting(const FleetRoom& room, TimePoint now);
    // Checks that every accepted job has ended. To be called at the end of the run.
    void checkFinished();

    std::size_t openJobs() const;
    std::size_t completedJobs() const;
    std::size_t submittedJobs() const { return m_jobs.size(); }
    std::size_t startedRuns() const { return m_runs.size(); }
    const std::vector<Violation>& violations() const { return m_violations; }

private:
    struct Run {
        RunStart start;
        std::int64_t startedUnixMs = 0;
        std::int64_t stopUnixMs = 0;
        std::int64_t endedUnixMs = 0;
        std::optional<RunEnd> end;
        bool isAcknowledged = false;
        bool isExcused = false;
        bool isReported = false;
        // The first run of the same task that started after this one had ended as done.
        std::optional<RunId> laterStart;
    };

    // How long something has been without a run although there was room for it.
    struct Wait {
        std::optional<TimePoint> since;
        bool isReported = false;

        // Returns true once for a wait that has become as long as this.
        bool exceeds(Milliseconds limit, bool isWaiting, TimePoint now);
    };

    struct LongRunningTask {
        std::string name;
        std::optional<TimePoint> lastRunAt;
        Wait wait;
    };

    struct Job {
        std::string payload;
        std::uint32_t tasks = 0;
        std::uint32_t openSubmissions = 0;
        bool isUncertain = false;
        std::optional<TimePoint> acceptedAt;
        bool isCancelRequested = false;
        std::optional<TimePoint> cancelledAt;
        bool isFinal = false;
        std::vector<RunId> running;
        std::string deadlyTask;
        // Executors that crashed under the deadly task, and its starts once there were enough.
        unsigned crashes = 0;
        unsigned furtherStarts = 0;
        std::map<std::string, bool> doneTasks;
        // Executors that crashed while the task ran there, for the tasks with such crashes.
        std::map<std::string, unsigned> crashesOfTask;
        Wait wait;
        // Empty if the job's tasks end by themselves.
        std::vector<LongRunningTask> longRunning;

        // True if the job has to go on until it has ended by itself.
        bool isOwed() const { return acceptedAt && !isFinal && !isCancelRequested && deadlyTask.empty(); }
        // True if the job must have ended at the end of the run; a long-running one only if it was cancelled.
        bool isUnfinished() const { return acceptedAt && !isFinal && deadlyTask.empty() && (longRunning.empty() || isCancelRequested); }
        // True if the job may be shown as failed.
        bool mayBeGivenUp() const;
    };

    Job* jobOf(std::string_view task);
    void checkTwice(RunId run);
    void checkBudget(RunId run);
    void checkUnasked(RunId run, TimePoint now);
    void checkWaitingJob(const std::string& id, Job& job, const FleetRoom& room, TimePoint now);
    void checkWaitingTask(const Job& job, LongRunningTask& task, const FleetRoom& room, TimePoint now);
    // True if neither a fault nor a change of the fleet has been active for this time.
    bool isCalmFor(Milliseconds time, TimePoint now) const;
    void report(Rule rule, std::string text);
    std::string describe(RunId run) const;

    SoakLog& m_log;
    SenderOf m_senderOf;
    std::deque<Run> m_runs;
    std::map<std::string, std::vector<RunId>, std::less<>> m_runsOfTask;
    std::map<std::string, Job, std::less<>> m_jobs;
    std::optional<TimePoint> m_calmSince;
    TimePoint m_fleetChangedAt {};
    std::optional<TimePoint> m_trafficEndedAt;
    std::vector<Violation> m_violations;
};

} // namespace plantainhold::soak
