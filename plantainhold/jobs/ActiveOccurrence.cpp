#include "plantainhold/jobs/ActiveOccurrence.h"

#include "plantainhold/jobs/ActiveJob.h"

#include <algorithm>

namespace plantainhold {

bool ActiveOccurrence::isReady(const ActiveStep& step) const
{
    return std::all_of(step.spec->after.begin(), step.spec->after.end(), [this](std::uint32_t it) { return steps[it].isDone(); });
}

bool ActiveOccurrence::isIdle() const
{
    return !placedTasks && std::all_of(steps.begin(), steps.end(), [](const ActiveStep& it) { return !it.tasks.openCount(); });
}

void ActiveOccurrence::noteStepDone()
{
    ++doneSteps;
    if (isDone())
        job->doneOccurrences.insert(number);
}

} // namespace plantainhold
