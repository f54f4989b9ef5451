// Each command that may still arrive extends the bound, in the order of sending.

#include "plantainhold/scheduling/AttemptLease.h"

#include <algorithm>

namespace plantainhold {

namespace {

    constexpr std::size_t s_unacknowledgedLimit = 4;

} // namespace

AttemptLease::AttemptLease(TimePoint until)
    : m_until(until)
{
}

void AttemptLease::outcomeUnknown(bool isStart, const SchedulingTimes& times, TimePoint now)
{
    m_unacknowledged.push_back({ now, isStart });
    if (m_unacknowledged.size() > s_unacknowledgedLimit)
        foldOldest(times);
}

void AttemptLease::acknowledged(const SchedulingTimes& times, TimePoint now)
{
    m_until = std::max(m_until, now + times.taskLease);
    while (!m_unacknowledged.empty() && m_unacknowledged.front().sentBy + times.commandLifetime < now)
        foldOldest(times);
}

TimePoint AttemptLease::endsBy(const SchedulingTimes& times) const
{
    TimePoint until = m_until;
    for (const Command& it : m_unacknowledged) {
        TimePoint arrival = it.sentBy + times.commandLifetime;
        // A renewal that arrives after the lease has expired has no effect.
        if (!it.isStart)
            arrival = std::min(arrival, until);
        until = std::max(until, arrival + times.taskLease);
    }
    return until;
}

void AttemptLease::foldOldest(const SchedulingTimes& times)
{
    m_until = std::max(m_until, m_unacknowledged.front().sentBy + times.commandLifetime + times.taskLease);
    m_unacknowledged.erase(m_unacknowledged.begin());
}

} // namespace plantainhold
