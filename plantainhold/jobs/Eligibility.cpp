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

bool canRunSomewhere(const ActiveStep& step, std::span<ActiveExecutor* const> executors)
{
    const StepSpec& spec = *step.spec;
    const std::string& service = step.job().settings.service;
    return std::any_of(executors.begin(), executors.end(), [&](const ActiveExecutor* it) {
        return it->isListed && !it->isEvacuated && it->entry.service == service && spec.reserved().fitsIn(it->entry.capacity) && hasLabel(*it, spec.requiredLabel);
    });
}

PlacementObstacle workObstacle(const ActiveExecutor& executor, TimePoint now)
{
    if (!executor.isListed)
        return PlacementObstacle::Unlisted;
    if (!executor.isConfirmed())
        return PlacementObstacle::Unconfirmed;
    if (executor.entry.isDraining)
        return PlacementObstacle::Draining;
    if (executor.isEvacuated)
        return PlacementObstacle::Evacuated;
    if (executor.failedCalls)
        return PlacementObstacle::Unreachable;
    return now < executor.avoidedUntil ? PlacementObstacle::Avoided : PlacementObstacle::None;
}

PlacementObstacle eligibilityObstacle(const ActiveExecutor& executor, const ActiveStep& step, TimePoint now)
{
    const StepSpec& spec = *step.spec;
    if (executor.entry.service != step.job().settings.service)
        return PlacementObstacle::OtherService;
    if (PlacementObstacle obstacle = workObstacle(executor, now); obstacle != PlacementObstacle::None)
        return obstacle;
    if (!hasLabel(executor, spec.requiredLabel))
        return PlacementObstacle::MissingLabel;
    if (step.job().settings.needsAdvice) {
        StepAdvice::Opinion opinion = step.advice.opinionOf(executor, now);
        if (opinion == StepAdvice::Opinion::Refused)
            return PlacementObstacle::AdviceRefused;
        if (opinion != StepAdvice::Opinion::Approved)
            return PlacementObstacle::NoTicket;
    }
    if (executor.secludedRuns)
        return PlacementObstacle::SuspectThere;
    bool isOneTooMany = spec.maxPerExecutor && tasksOn(executor, step) >= spec.maxPerExecutor;
    return isOneTooMany ? PlacementObstacle::TooManyOfStep : PlacementObstacle::None;
}

bool isEligible(const ActiveExecutor& executor, const ActiveStep& step, TimePoint now)
{
    return eligibilityObstacle(executor, step, now) == PlacementObstacle::None;
}

} // namespace plantainhold
