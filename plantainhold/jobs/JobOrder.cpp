#include "plantainhold/jobs/JobOrder.h"

#include "plantainhold/jobs/ActiveJob.h"

#include <algorithm>
#include <tuple>

namespace plantainhold {

namespace {

    constexpr double s_smoothing = 0.05;
    constexpr double s_leastStretch = 0.5;
    constexpr double s_mostStretch = 2.5;
    // Beyond this multiple of its objective a job is worth nothing.
    constexpr int s_lateFactor = 3;

} // namespace

void JobOrder::learn(std::string_view queue, std::uint32_t estimateMs, Milliseconds longest)
{
    if (!estimateMs)
        return;
    double ratio = std::clamp(static_cast<double>(longest.count()) / estimateMs, s_leastStretch / 2, 2 * s_mostStretch);
    auto [it, isNew] = m_stretch.try_emplace(std::string(queue), 1.0);
    it->second += s_smoothing * (ratio - it->second);
}

std::vector<LearnedStretch> JobOrder::learned() const
{
    std::vector<LearnedStretch> stretches;
    for (const auto& [queue, stretch] : m_stretch)
        stretches.push_back({ queue, stretch });
    return stretches;
}

void JobOrder::restore(std::span<const LearnedStretch> stretches)
{
    for (const LearnedStretch& it : stretches)
        m_stretch[it.queue] = std::clamp(it.stretch, s_leastStretch, s_mostStretch);
}

double JobOrder::stretchOf(const std::string& queue) const
{
    auto it = m_stretch.find(queue);
    return it == m_stretch.end() ? 1.0 : std::clamp(it->second, s_leastStretch, s_mostStretch);
}

Milliseconds JobOrder::expected(const std::string& queue, std::uint32_t estimateMs) const
{
    return Milliseconds(static_cast<std::int64_t>(estimateMs * stretchOf(queue)));
}

TimePoint JobOrder::objectiveOf(const ActiveJob& job) const
{
    double allowed = job.queue.deadlineFactor * job.longestChain * stretchOf(job.queue.name) + job.queue.targetLatencyMs;
    return job.seenAt + Milliseconds(static_cast<std::int64_t>(allowed));
}

JobOrder::Rank JobOrder::rankOf(ActiveStep& step, TimePoint now) const
{
    const ActiveJob& job = step.job();
    if (step.spec->lasts) {
        bool isReturning = std::any_of(step.tasks.begin(), step.tasks.end(), [](const ActiveTask& it) { return it.isWaiting() && it.lastRun; });
        return { job.queue.priority, isReturning ? Chance::Returning : Chance::Lasting, static_cast<std::int64_t>(job.serial), &step };
    }
    auto serial = static_cast<std::int64_t>(job.serial);
    TimePoint objective = objectiveOf(job);
    TimePoint end = now + Milliseconds(static_cast<std::int64_t>(job.chains[step.number] * stretchOf(job.queue.name)));
    if (end <= objective)
        return { job.queue.priority, job.wasPlaced ? Chance::Begun : Chance::Fresh, job.wasPlaced ? serial : -serial, &step };
    bool isLate = end <= job.seenAt + s_lateFactor * (objective - job.seenAt);
    return { job.queue.priority, isLate ? Chance::Late : Chance::Hopeless, serial, &step };
}

void JobOrder::sort(std::vector<ActiveStep*>& steps, TimePoint now) const
{
    std::vector<Rank> ranks;
    ranks.reserve(steps.size());
    for (ActiveStep* it : steps)
        ranks.push_back(rankOf(*it, now));
    std::sort(ranks.begin(), ranks.end(), [](const Rank& a, const Rank& b) {
        return std::tie(a.priority, a.chance, a.order) < std::tie(b.priority, b.chance, b.order);
    });
    for (std::size_t i = 0; i < ranks.size(); ++i)
        steps[i] = ranks[i].step;
}

} // namespace plantainhold
