#include "plantainhold/jobs/PlacementRound.h"

#include "plantainhold/jobs/ActiveJob.h"

#include <algorithm>

namespace plantainhold {

bool PlacementRound::isComparable(const ActiveStep& step)
{
    const StepSpec& spec = *step.spec;
    return spec.requiredLabel.empty() && !spec.maxPerExecutor && !spec.isGang && !step.job().settings.needsAdvice;
}

PlacementRound::Terms PlacementRound::termsOf(const ActiveTask& task, Means means)
{
    const StepSpec& spec = *task.step->spec;
    const QueueSettings& settings = task.step->job().settings;
    bool isReturning = spec.isLongRunning && task.lastRun > 0;
    return { settings.service, spec.isBestEffort() ? std::string_view(spec.image) : std::string_view(), means, settings.priority, spec.isLongRunning, isReturning };
}

Resources PlacementRound::wantedBy(const ActiveStep& step)
{
    // For best-effort tasks, the millicores that they use count, although they are not reserved.
    return step.spec->isBestEffort() ? step.spec->resources : step.spec->reserved();
}

void PlacementRound::reject(const ActiveTask& task, Means means)
{
    if (!isComparable(*task.step))
        return;
    Terms terms = termsOf(task, means);
    Resources wanted = wantedBy(*task.step);
    std::erase_if(m_rejections, [&](const Rejection& it) { return it.terms == terms && wanted.fitsIn(it.wanted); });
    m_rejections.push_back({ terms, wanted });
}

bool PlacementRound::isRejected(const ActiveTask& task, Means means) const
{
    if (m_rejections.empty() || !isComparable(*task.step))
        return false;
    Terms terms = termsOf(task, means);
    Resources wanted = wantedBy(*task.step);
    return std::any_of(m_rejections.begin(), m_rejections.end(), [&](const Rejection& it) { return it.terms == terms && it.wanted.fitsIn(wanted); });
}

} // namespace plantainhold
