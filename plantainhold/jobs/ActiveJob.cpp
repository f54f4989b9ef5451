#include "plantainhold/jobs/ActiveJob.h"

#include <algorithm>

namespace plantainhold {

void ActiveJob::computeCriticalPath()
{
    remainingPathMs.clear();
    for (const StepSpec& it : spec->steps)
        remainingPathMs.push_back(it.estimateMs);
    for (std::size_t i = remainingPathMs.size(); i-- > 0;) {
        for (std::uint32_t before : spec->steps[i].after)
            remainingPathMs[before] = std::max(remainingPathMs[before], spec->steps[before].estimateMs + remainingPathMs[i]);
    }
    criticalPathMs = remainingPathMs.empty() ? 0 : *std::max_element(remainingPathMs.begin(), remainingPathMs.end());
}

ActiveStep* ActiveJob::findStep(std::uint32_t occurrence, std::uint32_t step)
{
    auto it = occurrences.find(occurrence);
    if (it == occurrences.end() || step >= it->second.steps.size())
        return nullptr;
    return &it->second.steps[step];
}

ActiveTask* ActiveJob::find(const TaskName& name)
{
    ActiveStep* step = findStep(name.occurrence, name.step);
    return step ? step->tasks.find(name.index) : nullptr;
}

bool ActiveJob::hasRuns() const
{
    return std::any_of(occurrences.begin(), occurrences.end(), [](const auto& it) { return it.second.placedTasks > 0; });
}

std::size_t ActiveJob::openTasks() const
{
    std::size_t n = 0;
    for (const auto& [number, occurrence] : occurrences) {
        for (const ActiveStep& it : occurrence.steps)
            n += it.tasks.openCount();
    }
    return n;
}

std::uint64_t ActiveJob::totalTasks() const
{
    std::uint64_t n = 0;
    for (const StepSpec& it : spec->steps)
        n += it.taskCount;
    return n * spec->occurrences();
}

} // namespace plantainhold
