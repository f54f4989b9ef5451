#include "plantainhold/jobs/Eligibility.h"

#include "plantainhold/jobs/ActiveExecutor.h"
#include "plantainhold/jobs/ActiveJob.h"

#include <algorithm>

namespace plantainhold {

bool hasLabel(const ActiveExecutor& executor, std::string_view label)
{
    const std::vector<std::string>& labels = executor.entry.labels;
    return label.empty() || std::find(labels.begin(), labels.end(), label) != labels.end();
}

std::uint32_t tasksOn(const ActiveExecutor& executor, const ActiveStep& step)
{
    std::uint32_t n = 0;
    for (const ActiveRun* it : executor.runs)
        n += it->task->step == &step;
    return n;
}

bool isEligible(const ActiveExecutor& executor, const ActiveStep& step, TimePoint now)
{
    const StepSpec& spec = *step.spec;
    if (!executor.acceptsWork(now) || executor.entry.service != step.job().queue.service)
        return false;
    if (!hasLabel(executor, spec.requiredLabel))
        return false;
    if (step.job().queue.needsAdvice && !step.tickets.contains(executor.entry.id))
        return false;
    return !spec.maxPerExecutor || tasksOn(executor, step) < spec.maxPerExecutor;
}

} // namespace plantainhold
