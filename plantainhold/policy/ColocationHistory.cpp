// Intervals during which batch tasks ran on workers, with their speeds over time.
#include "plantainhold/policy/ColocationHistory.h"

#include <algorithm>

namespace plantainhold {

namespace {

    constexpr std::uint32_t s_fullSpeed = 100;

} // namespace

void ColocationHistory::begin(WorkerSlot slot, std::uint64_t serial, NameId kind, double cores, TimePoint now)
{
    if (slot >= m_intervals.size())
        m_intervals.resize(slot + std::size_t(1));
    prune(slot, now);
    m_intervals[slot].push_back({ serial, kind, cores, TimePoint::max(), { { now, s_fullSpeed } } });
}

ColocationHistory::TaskInterval* ColocationHistory::find(WorkerSlot slot, std::uint64_t serial)
{
    if (slot >= m_intervals.size())
        return nullptr;
    auto& intervals = m_intervals[slot];
    auto it = std::find_if(intervals.begin(), intervals.end(), [serial](const TaskInterval& one) { return one.serial == serial; });
    return it == intervals.end() ? nullptr : &*it;
}

void ColocationHistory::end(WorkerSlot slot, std::uint64_t serial, TimePoint now)
{
    if (TaskInterval* interval = find(slot, serial))
        interval->endedAt = now;
}

void ColocationHistory::setSpeed(WorkerSlot slot, std::uint64_t serial, std::uint32_t percent, TimePoint from)
{
    TaskInterval* interval = find(slot, serial);
    if (!interval)
        return;
    auto& speeds = interval->speeds;
    while (speeds.size() > 1 && speeds.back().from >= from)
        speeds.pop_back();
    if (speeds.back().percent != percent)
        speeds.push_back({ std::max(from, speeds.back().from), percent });
}

void ColocationHistory::setCores(WorkerSlot slot, std::uint64_t serial, double cores)
{
    if (TaskInterval* interval = find(slot, serial))
        interval->cores = cores;
}

std::uint32_t ColocationHistory::speedAt(WorkerSlot slot, std::uint64_t serial, TimePoint at) const
{
    if (slot >= m_intervals.size())
        return s_fullSpeed;
    for (const TaskInterval& it : m_intervals[slot]) {
        if (it.serial != serial)
            continue;
        auto change = std::find_if(it.speeds.rbegin(), it.speeds.rend(), [at](const SpeedChange& one) { return one.from <= at; });
        return change == it.speeds.rend() ? it.speeds.front().percent : change->percent;
    }
    return s_fullSpeed;
}

double ColocationHistory::meanSpeed(const TaskInterval& interval, TimePoint from, TimePoint to)
{
    double sum = 0;
    for (std::size_t i = 0; i < interval.speeds.size(); ++i) {
        TimePoint begin = std::max(from, interval.speeds[i].from);
        TimePoint next = i + 1 < interval.speeds.size() ? interval.speeds[i + 1].from : interval.endedAt;
        TimePoint end = std::min({ to, next, interval.endedAt });
        if (begin < end)
            sum += std::chrono::duration<double>(end - begin).count() * interval.speeds[i].percent / s_fullSpeed;
    }
    return sum / std::chrono::duration<double>(to - from).count();
}

std::vector<ColocationHistory::TaskUsage> ColocationHistory::taskUsages(WorkerSlot slot, TimePoint from, TimePoint to) const
{
    std::vector<TaskUsage> found;
    if (slot >= m_intervals.size())
        return found;
    for (const TaskInterval& it : m_intervals[slot]) {
        double speed = meanSpeed(it, from, to);
        if (speed > 0)
            found.push_back({ it.serial, it.kind, it.cores * speed });
    }
    return found;
}

void ColocationHistory::prune(WorkerSlot slot, TimePoint now)
{
    if (slot >= m_intervals.size())
        return;
    TimePoint oldest = now - s_retention;
    std::erase_if(m_intervals[slot], [oldest](const TaskInterval& it) { return it.endedAt < oldest; });
    for (TaskInterval& it : m_intervals[slot]) {
        // The latest change before the retention is still the task's speed after it, so it is kept.
        while (it.speeds.size() > 1 && it.speeds[1].from < oldest)
            it.speeds.erase(it.speeds.begin());
    }
}

} // namespace plantainhold
