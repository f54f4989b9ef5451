// The owner's view of jobs that are not over yet: each task's place, run number,
// failures and newest checkpoint.
#pragma once

#include "plantainhold/jobs/ExecutorReport.h"
#include "plantainhold/jobs/JobProgress.h"
#include "plantainhold/jobs/JobSpec.h"
#include "plantainhold/jobs/Queue.h"
#include "plantainhold/policy/Estimate.h"
#include "plantainhold/ports/Clock.h"

#include <cstdint>
#include <deque>
#include <limits>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace plantainhold {

struct ActiveExecutor;
struct ActiveJob;
struct ActiveOccurrence;
struct ActiveStep;
struct ActiveTask;

enum class RunPhase : std::uint8_t {
    // Chosen; the record of it is not in the store yet, so nothing was sent.
    Recording,
    // The order to start is on its way.
    Starting,
    // Whether the executor has it is not known.
    Unconfirmed,
    Running
};

// One run of a task that is, or may be, on an executor.
struct ActiveRun {
    static constexpr std::uint32_t s_noImage = std::numeric_limits<std::uint32_t>::max();

    ActiveTask* task = nullptr;
    ActiveExecutor* executor = nullptr;
    std::uint32_t number = 0;
    RunPhase phase = RunPhase::Recording;
    // Of the queue when it was assigned.
    std::int32_t priority = 0;
    // The newest token that an order to start it may have carried.
    std::uint64_t token = 0;
    TimePoint assignedAt {};
    // Reports sent for earlier than this say nothing about the run.
    TimePoint confirmedAt {};
    bool isStopRequested = false;
    bool isStopSent = false;
    TimePoint stopSentAt {};
    // Of the newest report.
    std::uint32_t percent = 0;
    double measurement = 0;
    // Speed that was ordered last, and the one that is wanted.
    static constexpr std::uint32_t s_unknownPace = 101;
    std::uint32_t sentPace = 100;
    std::uint32_t targetPace = 100;
    // Since when it hardly works for the sake of its neighbours; max: it does.
    TimePoint slowedSince = TimePoint::max();
    // Of a serving task: since when its target is missed; max: it is kept.
    TimePoint missedSince = TimePoint::max();
    // The image's number in the table of effects, and the serving task's own headroom.
    std::uint32_t image = s_noImage;
    Estimate ownHeadroom;
    TimePoint pacedAt {};
    bool wasPaced = false;
    // Checkpoint of the newest report, and when it last changed.
    std::string checkpoint;
    TimePoint progressedAt {};
    // The executor's count of reports when this one listed the run.
    std::uint64_t listedIn = 0;
};

struct ActiveTask {
    ActiveStep* step = nullptr;
    std::uint32_t index = 0;
    std::uint32_t lastRun = 0;
    std::uint32_t failures = 0;
    bool isDone = false;
    // An earlier run turned out to have ended well after it was given up; the task is
    // done once its present run is over.
    bool wasDoneByEarlierRun = false;
    std::string checkpoint;
    std::unique_ptr<ActiveRun> run;
    TimePoint waitingSince {};
    // Not placed again before this.
    TimePoint notBefore {};
    // Where it failed or was rejected last.
    const ActiveExecutor* avoided = nullptr;
    // Room is being made for it there.
    ActiveExecutor* nominated = nullptr;

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
    // Of a queue that needs advice: tickets by executor, until when they hold, and
    // whether a request for them is on its way.
    std::unordered_map<std::string, std::string> tickets;
    TimePoint ticketsUntil {};
    bool isAdviceRequested = false;
    TimePoint requestAdviceAfter {};
    // Longest undisturbed run of its tasks so far; 0 when there was none.
    Milliseconds longestRun { 0 };

    bool isDone() const { return doneTasks == tasks.size(); }
    std::uint32_t waitingTasks() const { return static_cast<std::uint32_t>(tasks.size()) - doneTasks - placedTasks; }
    ActiveJob& job() const;
    // Empty where there is none.
    std::string ticketFor(const std::string& executor) const;
    // The queue needs advice and none is in force.
    bool lacksAdvice(TimePoint now) const;
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
    Queue queue;
    JobState state = JobState::Queued;
    // One of its tasks has started.
    bool hasStarted = false;
    // One of its tasks was given a place, at this owner or a former one.
    bool wasPlaced = false;
    // When this owner learned of it.
    TimePoint seenAt {};
    // Ties between jobs go by this.
    std::uint64_t serial = 0;
    // Longest way from each step through those that wait for it, in estimated ms.
    std::vector<double> remainingPathMs;
    double criticalPathMs = 0;
    // Only those that are due.
    std::deque<ActiveOccurrence> occurrences;
    // What is stored is older than this.
    bool isDirty = false;

    // Works out the chains. Precondition: the spec is set. Not thread-safe.
    void computeCriticalPath();
    // Precondition: occurrences are added in order. Not thread-safe.
    ActiveOccurrence& addOccurrence(TimePoint now);
    // Null for a task that the job does not have, or not yet.
    ActiveTask* find(const TaskName& name);
    bool isDone() const;
    // Everything that an heir needs; untouched tasks are left out.
    JobProgress progress() const;
};

} // namespace plantainhold
