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

    // Longest way from each step through those that wait for it.
    std::vector<Milliseconds> chainsFrom(const JobSpec& spec, const std::vector<Milliseconds>& times)
    {
        std::vector<Milliseconds> chains = times;
        for (std::size_t i = spec.steps.size(); i-- > 0;) {
            for (std::uint32_t before : spec.steps[i].after)
                chains[before] = std::max(chains[before], times[before] + chains[i]);
        }
        return chains;
    }

} // namespace

void JobOrder::learn(std::string_view queue, std::uint32_t estimateMs, Milliseconds longest)
{
    if (!estimateMs)
        return;
    double ratio = std::clamp(static_cast<double>(longest.count()) / estimateMs, s_leastStretch / 2, 2 * s_mostStretch);
    auto [it, isNew] = m_stretch.try_emplace(std::string(queue), 1.0);
    it->second += s_smoothing * (ratio - it->second);
}

Milliseconds JobOrder::expected(std::string_view queue, std::uint32_t estimateMs) const
{
    auto it = m_stretch.find(std::string(queue));
    double stretch = it == m_stretch.end() ? 1.0 : std::clamp(it->second, s_leastStretch, s_mostStretch);
    return Milliseconds(static_cast<std::int64_t>(estimateMs * stretch));
}

Milliseconds JobOrder::chainOf(const JobSpec& spec) const
{
    std::vector<Milliseconds> times;
    for (const StepSpec& it : spec.steps)
        times.push_back(expected(spec.queue, it.estimateMs));
    std::vector<Milliseconds> chains = chainsFrom(spec, times);
    return chains.empty() ? Milliseconds(0) : *std::max_element(chains.begin(), chains.end());
}

TimePoint JobOrder::objectiveOf(const ActiveJob& job) const
{
    double allowed = job.queue.deadlineFactor * static_cast<double>(chainOf(*job.spec).count()) + job.queue.targetLatencyMs;
    return job.seenAt + Milliseconds(static_cast<std::int64_t>(allowed));
}

Milliseconds JobOrder::remainingChain(const ActiveStep& step) const
{
    const JobSpec& spec = *step.job().spec;
    std::vector<Milliseconds> times;
    for (const StepSpec& it : spec.steps)
        times.push_back(expected(spec.queue, it.estimateMs));
    return chainsFrom(spec, times)[step.number];
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
    TimePoint end = now + remainingChain(step);
    if (end <= objective)
        return { job.queue.priority, job.hasBegun ? Chance::Begun : Chance::Fresh, job.hasBegun ? serial : -serial, &step };
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
