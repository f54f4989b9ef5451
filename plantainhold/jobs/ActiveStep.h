// One step of one occurrence of a job: its tasks, and what is known of all of them together.
#pragma once

#include "plantainhold/jobs/HeadroomTrend.h"
#include "plantainhold/jobs/JobSpec.h"
#include "plantainhold/jobs/StepAdvice.h"
#include "plantainhold/jobs/TaskTable.h"
#include "plantainhold/ports/Clock.h"

#include <cstdint>
#include <string>

namespace plantainhold {

struct ActiveJob;
struct ActiveOccurrence;

struct ActiveStep {
    ActiveOccurrence* occurrence = nullptr;
    const StepSpec* spec = nullptr;
    std::uint32_t number = 0;
    TaskTable tasks;
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

    // How many tasks that wait may have objects before no further untouched one is looked at: those that wait for a place near
    // their data, for example, tell of all others of the step.
    std::size_t maxWaitingObjects() const;
    bool isDone() const { return doneTasks == spec->taskCount; }
    std::uint32_t waitingTasks() const { return spec->taskCount - doneTasks - placedTasks; }
    ActiveJob& job() const;
    // True if a run of the step has its executor to itself for now, because its task may crash it.
    bool hasSecludedRun() const;
    // Returns the first task that waits; nullptr if none does that has an object.
    const ActiveTask* firstWaiting() const;
    // Counts a task as done, once, and with the last one of its occurrence the occurrence. Its object stays until
    // ActiveJob::removeDone(). Not thread-safe, like the following method.
    void markDone(ActiveTask& task);
    // The completion of one member completes the whole gang.
    void markGangDone();
};

} // namespace plantainhold
