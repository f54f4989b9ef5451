#include "plantainhold/jobs/ActiveStep.h"

#include "plantainhold/jobs/ActiveOccurrence.h"

#include <algorithm>
#include <boost/algorithm/cxx11/any_of.hpp>

namespace plantainhold {

std::size_t ActiveStep::maxWaitingObjects() const
{
    constexpr std::size_t s_maxOfOccurrence = 256;
    constexpr std::size_t s_least = 4;
    return std::max(s_least, s_maxOfOccurrence / occurrence->steps.size());
}

ActiveJob& ActiveStep::job() const
{
    return *occurrence->job;
}

bool ActiveStep::hasSecludedRun() const
{
    return boost::algorithm::any_of(tasks.open(), [](const ActiveTask& it) { return it.run && it.run->isSecluded; });
}

const ActiveTask* ActiveStep::firstWaiting() const
{
    for (const ActiveTask& it : tasks.open()) {
        if (it.isWaiting())
            return &it;
    }
    return nullptr;
}

void ActiveStep::markDone(ActiveTask& task)
{
    if (task.isDone)
        return;
    task.isDone = true;
    ++doneTasks;
    if (isDone())
        occurrence->noteStepDone();
}

void ActiveStep::markGangDone()
{
    while (tasks.untouched())
        tasks.openNext();
    for (ActiveTask& it : tasks.open())
        markDone(it);
}

} // namespace plantainhold
