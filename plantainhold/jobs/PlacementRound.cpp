#include "plantainhold/jobs/PlacementRound.h"

#include "plantainhold/jobs/ActiveJob.h"

#include <algorithm>
#include <utility>

namespace plantainhold {

void PlacementRound::begin(Extent extent)
{
    if (extent == Extent::Complete)
        m_rejections.clear();
    ++m_number;
    m_searches = 0;
}

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
    return { settings.service, spec.isBestEffort() ? spec.image : std::string(), means, settings.priority, spec.isBestEffort(), spec.isLongRunning, isReturning };
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
    m_rejections.push_back({ std::move(terms), wanted, m_number });
}

std::optional<std::uint64_t> PlacementRound::rejectedIn(const ActiveTask& task, Means means) const
{
    if (m_rejections.empty() || !isComparable(*task.step))
        return std::nullopt;
    Terms terms = termsOf(task, means);
    Resources wanted = wantedBy(*task.step);
    std::optional<std::uint64_t> newest;
    for (const Rejection& it : m_rejections) {
        if (it.terms == terms && it.wanted.fitsIn(wanted))
            newest = std::max(newest.value_or(0), it.round);
    }
    // Whether a long-running task may run for the first time depends on the load of its whole service.
    bool dependsOnAll = terms.isLongRunning && !terms.isReturning && newest != m_number;
    return dependsOnAll ? std::nullopt : newest;
}

} // namespace plantainhold
