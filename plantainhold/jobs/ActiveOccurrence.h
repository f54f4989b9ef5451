// One time that the steps of a job are run. It is kept from its opening until all its tasks are done.
#pragma once

#include "plantainhold/jobs/ActiveStep.h"
#include "plantainhold/ports/Clock.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace plantainhold {

struct ActiveJob;

struct ActiveOccurrence {
    ActiveJob* job = nullptr;
    std::uint32_t number = 0;
    // Since when its untouched tasks wait.
    TimePoint waitingSince {};
    std::vector<ActiveStep> steps;
    std::uint32_t doneSteps = 0;
    // Tasks that have a run.
    std::uint32_t placedTasks = 0;

    bool isReady(const ActiveStep& step) const;
    // Number of untouched tasks of the step, if its turn has come.
    std::size_t offeredTasks(const ActiveStep& step) const { return step.tasks.untouched() && isReady(step) ? step.tasks.untouched() : 0; }
    // True if no task has a run or anything else of its own to be known.
    bool isIdle() const;
    bool isDone() const { return doneSteps == steps.size(); }
    // Counts a step as done, and with the last one the occurrence. Not thread-safe.
    void noteStepDone();
};

} // namespace plantainhold
