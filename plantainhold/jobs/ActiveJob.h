// The owner's view of jobs that have not ended: each task's placement, run number, failures and
// newest checkpoint.
#pragma once

#include "plantainhold/jobs/CrashEvidence.h"
#include "plantainhold/jobs/ExecutorReport.h"
#include "plantainhold/jobs/HeadroomTrend.h"
#include "plantainhold/jobs/JobProgress.h"
#include "plantainhold/jobs/JobSpec.h"
#include "plantainhold/jobs/ProgressParts.h"
#include "plantainhold/jobs/QueueSettings.h"
#include "plantainhold/jobs/StepAdvice.h"
#include "plantainhold/ports/Clock.h"

#include <cstdint>
#include <deque>
#include <limits>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace plantainhold {

struct ActiveExecutor;
struct ActiveJob;
struct ActiveOccurrence;
struct ActiveStep;
struct ActiveTask;

enum class RunPhase : std::uint8_t {
    // An executor was chosen. The record is not in the store yet, so no command was sent.
    Recording,
    // The start command is queued or in flight.
    Starting,
    // It is not known whether the executor has the run.
    Unconfirmed,
    Running
};

constexpr std::string_view nameOf(RunPhase phase)
{
    constexpr std::string_view s_names[] = { "recording", "starting", "unconfirmed", "running" };
    return s_names[static_cast<std::size_t>(phase)];
}

// One run of a task that is, or may be, on an executor.
struct ActiveRun {
    static constexpr std::uint32_t s_noImage = std::numeric_limits<std::uint32_t>::max();

    ActiveTask* task = nullptr;
    ActiveExecutor* executor = nullptr;
    std::uint32_t number = 0;
    RunPhase phase = RunPhase::Recording;
    // Priority of the queue at the time of assignment.
    std::int32_t priority = 0;
    // Incarnation of the executor to which the start was sent, or which listed the run.
    std::int64_t incarnation = 0;
    // The newest fencing token that a start command for this run may have carried.
    std::uint64_t token = 0;
    TimePoint assignedAt {};
    // When this owner sent the start; unset for a run that a former owner started.
    TimePoint sentAt {};
    bool wasSentHere() const { return sentAt != TimePoint {}; }
    // Returns the earliest time at which the run can have begun, as far as this owner knows. A start may wait
    // for its record for long after the assignment.
    TimePoint begunAt() const { return wasSentHere() ? sentAt : assignedAt; }
    // How the run relates to the crash of its executor, if that has crashed; the task counts it once the run
    // is lost.
    CrashRelation crash = CrashRelation::None;
    // The task was a suspect when the run was placed, and for now nothing else is placed beside it.
    bool isSecluded = false;
    // The run has been at work for CrashCounts::s_soundAfter, under this owner or a former one.
    bool isProven = false;
    // Until a report lists the run, an incarnation that the owner does not know of may have it, under a
    // lease that lasts up to this time.
    TimePoint unseenLeaseExpiresAt {};
    bool isIncarnationKnown() const { return unseenLeaseExpiresAt == TimePoint {}; }
    // TaskProgress::isRunSeen.
    bool isSeen = false;
    // TaskProgress::hasRunOutlastedStart.
    bool hasOutlastedStart = false;
    // Address to which the start was sent; empty while its result is not known.
    std::string sentTo;
    // When the owner learned that the run had started, or that its start is over without a result. A
    // report that was requested before may have been executed before the start, so it is no evidence
    // that the run is missing.
    TimePoint confirmedAt {};
    bool isStopRequested = false;
    bool isStopSent = false;
    TimePoint stopSentAt {};
    // Percent and measurement of the newest report.
    std::uint32_t percent = 0;
    double measurement = 0;
    // Pace in percent that was sent last, and the pace that the pacer wants.
    static constexpr std::uint32_t s_unknownPace = 101;
    std::uint32_t sentPace = 100;
    std::uint32_t targetPace = 100;
    // Since when the run has been slowed down heavily to protect its neighbours; max() if it is not.
    TimePoint slowedSince = TimePoint::max();
    // For a latency-critical task: since when its target has been missed; max() if it is met.
    TimePoint missedSince = TimePoint::max();
    // The image's id in the InterferenceTable.
    std::uint32_t image = s_noImage;
    TimePoint pacedAt {};
    bool wasPaced = false;
    // Checkpoint of the newest report, and when the checkpoint or the progress last changed.
    std::string checkpoint;
    TimePoint progressedAt {};
    // Value of ActiveExecutor::reports when a report last listed the run.
    std::uint64_t listedIn = 0;
};

struct ActiveTask {
    ActiveStep* step = nullptr;
    std::uint32_t index = 0;
    std::uint32_t lastRun = 0;
    std::uint32_t failures = 0;
    CrashCounts crashes;
    // TaskProgress::isSpared; until the next crash.
    bool isSpared = false;
    bool isDone = false;
    // An earlier run completed after it had been given up. The task becomes done once its present
    // run has ended.
    bool wasDoneByEarlierRun = false;
    std::string checkpoint;
    std::unique_ptr<ActiveRun> run;
    TimePoint waitingSince {};
    // The task is not placed before this time.
    TimePoint notBefore {};
    // When the task first passed over room to wait for room near its data; unset if it has not. And until when it does;
    // not later than now if it does not.
    TimePoint passesOverSince {};
    TimePoint passesOverUntil {};
    // The executor where the task last failed, was rejected or was slowed down. It is avoided if possible.
    const ActiveExecutor* avoided = nullptr;
    // The executor where capacity is being freed for the task by preemption.
    ActiveExecutor* nominated = nullptr;
    // When that capacity is released; and from when on capacity may be freed for the task again.
    TimePoint nominatedUntil {};
    TimePoint preemptsFrom {};

    bool isWaiting() const { return !isDone && !run; }
    TaskName name() const;
};

struct ActiveStep {
    ActiveOccurrence* occurrence = nullptr;
    const StepSpec* spec = nullptr;
    std::uint32_t number = 0;
    std::vector<ActiveTask> tasks;
    std::uint32_t doneTasks = 0;
    std::uint32_t placedTasks = 0;
    // When a round of placement looked at the step last.
    TimePoint consideredAt {};
    // For a gang that wants one rack: where there was room for all of it in the last round; empty: nowhere.
    std::string preferredRack;
    // For a queue that needs advice.
    StepAdvice advice;
    // Until this time it is not decided whether one of the tasks crashes its executors.
    TimePoint verdictAt {};
    // Duration of the longest run of its tasks that was neither slowed down nor resumed; 0 if there
    // was none.
    Milliseconds longestRun { 0 };
    // Of latency-critical tasks: their headroom without neighbours.
    HeadroomTrend headroom;

    bool isDone() const { return doneTasks == tasks.size(); }
    std::uint32_t waitingTasks() const { return static_cast<std::uint32_t>(tasks.size()) - doneTasks - placedTasks; }
    ActiveJob& job() const;
    // True if a run of the step has its executor to itself for now, because its task may crash it.
    bool hasSecludedRun() const;
};

struct ActiveOccurrence {
    ActiveJob* job = nullptr;
    std::uint32_t number = 0;
    std::vector<ActiveStep> steps;

    bool isReady(const ActiveStep& step) const;
    std::uint32_t placedTasks() const;
    bool isDone() const;
};

struct ActiveJob {
    std::string id;
    std::shared_ptr<const JobSpec> spec;
    // The settings of its queue that are in force for it.
    QueueSettings settings;
    JobState state = JobState::Queued;
    // One of its tasks has started.
    bool hasStarted = false;
    // One of its tasks was assigned to an executor, by this owner or a former one.
    bool wasPlaced = false;
    // When this owner first saw the job.
    TimePoint firstSeenAt {};
    // Sort key for jobs of equal urgency.
    std::uint64_t serial = 0;
    // For each step, the longest path from it through its dependents, in estimated ms; and the
    // longest of all.
    std::vector<double> remainingPathMs;
    double criticalPathMs = 0;
    // Occurrences that are due so far.
    std::deque<ActiveOccurrence> occurrences;
    // The records that hold its progress.
    ProgressParts progressParts;
    // The state in memory is newer than the stored one.
    bool isDirty = false;
    // The store did not take a record of the job: until then none is written, and none of its tasks is started.
    TimePoint heldUntil {};
    bool isHeld(TimePoint now) const { return now < heldUntil; }
    // An applied end that may not be acknowledged before the job's progress is stored.
    struct UnstoredEnd {
        std::string executor;
        std::int64_t startedUnixMs = 0;
        std::uint64_t number = 0;
    };
    std::vector<UnstoredEnd> unstoredEnds;
    // Those of them that the records under way will store.
    std::size_t endsInBatch = 0;

    // Computes remainingPathMs and criticalPathMs. Precondition: spec is set. Not thread-safe.
    void computeCriticalPath();
    // Appends the next occurrence; its tasks wait from `now` on. Occurrences are numbered in the
    // order of the calls. Not thread-safe.
    ActiveOccurrence& addOccurrence(TimePoint now);
    // Returns nullptr for a task that the job does not have, or whose occurrence is not due yet.
    ActiveTask* find(const TaskName& name);
    bool isDone() const;
    // Returns everything that the next owner needs. Tasks that were never placed are omitted.
    JobProgress progress() const;
};

} // namespace plantainhold
