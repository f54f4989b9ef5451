#include "plantainhold/jobs/JobPrioritizer.h"

#include "plantainhold/jobs/ActiveJob.h"

#include <algorithm>
#include <boost/algorithm/cxx11/any_of.hpp>
#include <tuple>

namespace plantainhold {

namespace {

    constexpr double s_smoothing = 0.05;
    constexpr double s_minSlowdown = 0.5;
    constexpr double s_maxSlowdown = 2.5;
    // A job that exceeds its allowed time by this factor has no value left.
    constexpr int s_lateFactor = 3;

} // namespace

void JobPrioritizer::learn(std::string_view queue, std::uint32_t estimateMs, Milliseconds longest)
{
    if (!estimateMs)
        return;
    double ratio = std::clamp(static_cast<double>(longest.count()) / estimateMs, s_minSlowdown / 2, 2 * s_maxSlowdown);
    auto [it, isNew] = m_slowdowns.try_emplace(std::string(queue), 1.0);
    it->second += s_smoothing * (ratio - it->second);
}

std::vector<LearnedSlowdown> JobPrioritizer::learned() const
{
    std::vector<LearnedSlowdown> slowdowns;
    for (const auto& [queue, slowdown] : m_slowdowns)
        slowdowns.push_back({ queue, slowdown });
    return slowdowns;
}

void JobPrioritizer::restore(std::span<const LearnedSlowdown> slowdowns)
{
    for (const LearnedSlowdown& it : slowdowns)
        m_slowdowns[it.queue] = std::clamp(it.slowdown, s_minSlowdown, s_maxSlowdown);
}

double JobPrioritizer::slowdownOf(const std::string& queue) const
{
    auto it = m_slowdowns.find(queue);
    return it == m_slowdowns.end() ? 1.0 : std::clamp(it->second, s_minSlowdown, s_maxSlowdown);
}

Milliseconds JobPrioritizer::expected(const std::string& queue, std::uint32_t estimateMs) const
{
    return Milliseconds(static_cast<std::int64_t>(estimateMs * slowdownOf(queue)));
}

TimePoint JobPrioritizer::objectiveOf(const ActiveJob& job) const
{
    double allowed = job.settings.deadlineFactor * job.criticalPathMs * slowdownOf(job.spec->queue) + job.settings.targetLatencyMs;
    return job.firstSeenAt + Milliseconds(static_cast<std::int64_t>(allowed));
}

TimePoint JobPrioritizer::latestStartOf(const ActiveStep& step) const
{
    const ActiveJob& job = step.job();
    return objectiveOf(job) - Milliseconds(static_cast<std::int64_t>(job.remainingPathMs[step.number] * slowdownOf(job.spec->queue)));
}

JobPrioritizer::Rank JobPrioritizer::rankOf(ActiveStep& step, TimePoint now) const
{
    const ActiveJob& job = step.job();
    if (step.spec->isLongRunning) {
        bool isReturning = boost::algorithm::any_of(step.tasks.open(), [](const ActiveTask& it) { return it.isWaiting() && it.lastRun; });
        return { job.settings.priority, isReturning ? UrgencyClass::Returning : UrgencyClass::LongRunning, static_cast<std::int64_t>(job.serial), step.occurrence->number, step.number, &step };
    }
    auto serial = static_cast<std::int64_t>(job.serial);
    TimePoint objective = objectiveOf(job);
    TimePoint end = now + Milliseconds(static_cast<std::int64_t>(job.remainingPathMs[step.number] * slowdownOf(job.spec->queue)));
    if (end <= objective)
        return { job.settings.priority, job.wasPlaced ? UrgencyClass::Started : UrgencyClass::OnTime, job.wasPlaced ? serial : -serial, step.occurrence->number, step.number, &step };
    bool isLate = end <= job.firstSeenAt + s_lateFactor * (objective - job.firstSeenAt);
    return { job.settings.priority, isLate ? UrgencyClass::Late : UrgencyClass::Unreachable, serial, step.occurrence->number, step.number, &step };
}

void JobPrioritizer::sort(std::vector<ActiveStep*>& steps, TimePoint now) const
{
    std::vector<Rank> ranks;
    ranks.reserve(steps.size());
    for (ActiveStep* it : steps)
        ranks.push_back(rankOf(*it, now));
    std::sort(ranks.begin(), ranks.end(), [](const Rank& a, const Rank& b) {
        return std::tie(a.priority, a.urgency, a.order, a.occurrence, a.number) < std::tie(b.priority, b.urgency, b.order, b.occurrence, b.number);
    });
    for (std::size_t i = 0; i < ranks.size(); ++i)
        steps[i] = ranks[i].step;
}

} // namespace plantainhold
