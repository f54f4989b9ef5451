#include "plantainhold/jobs/RackForecast.h"

#include <algorithm>

namespace plantainhold {

namespace {

    // A run that should end now has not ended yet.
    constexpr TimePoint::duration s_leastLateness = Milliseconds(1);

} // namespace

std::size_t RackForecast::addRoom(const Resources& free)
{
    m_free.push_back(free);
    return m_free.size() - 1;
}

void RackForecast::addEnd(std::size_t room, TimePoint expected, const Resources& freed)
{
    TimePoint when = expected > m_now ? expected : m_now + std::max(m_now - expected, s_leastLateness);
    add({ when, room, freed });
}

void RackForecast::add(const Change& change)
{
    if (change.when >= m_horizon)
        return;
    auto after = std::upper_bound(m_changes.begin(), m_changes.end(), change.when, [](TimePoint when, const Change& it) { return when < it.when; });
    m_changes.insert(after, change);
}

std::optional<RackForecast::Slot> RackForecast::next(const Resources& wanted, const std::function<bool(std::size_t room)>& isOpen) const
{
    std::vector<Resources> free = m_free;
    // Since when there has been enough, by room; max() while there is not.
    std::vector<TimePoint> since(free.size(), TimePoint::max());
    auto update = [&](std::size_t room, TimePoint when) {
        bool hasEnough = wanted.fitsIn(free[room]);
        if (!hasEnough)
            since[room] = TimePoint::max();
        else if (since[room] == TimePoint::max())
            since[room] = when;
    };
    for (std::size_t i = 0; i < free.size(); ++i)
        update(i, m_now);
    for (const Change& it : m_changes) {
        free[it.room] += it.freed;
        update(it.room, it.when);
    }
    std::optional<Slot> best;
    for (std::size_t i = 0; i < free.size(); ++i) {
        bool isEarliest = since[i] != TimePoint::max() && (!best || since[i] < best->when);
        if (isEarliest && isOpen(i))
            best = { since[i], i };
    }
    return best;
}

void RackForecast::claim(const Slot& slot, const Resources& wanted, Milliseconds duration)
{
    add({ slot.when, slot.room, Resources() - wanted });
    add({ slot.when + duration, slot.room, wanted });
}

} // namespace plantainhold
