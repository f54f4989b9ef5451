// An unresponsive worker gets only describe commands, with exponential backoff. A
// describe command extends no lease, so that the leases on the worker expire.

#include "plantainhold/scheduling/WorkerTracker.h"

#include <algorithm>

namespace plantainhold {

namespace {

    constexpr std::uint32_t s_backoffShiftLimit = 8;

} // namespace

WorkerTracker::WorkerTracker(WorkerAddress address)
    : m_address(std::move(address))
{
}

void WorkerTracker::setListed(const std::string& address, bool isLeaving)
{
    m_address.address = address;
    m_isLeaving = isLeaving;
    m_isListed = true;
}

void WorkerTracker::resetForNewEpoch()
{
    m_isDescribed = false;
    m_failures = 0;
    m_nextProbe = TimePoint();
    m_lastRenewal = TimePoint();
    m_orphans.clear();
}

void WorkerTracker::failed(const SchedulingTimes& times, TimePoint now)
{
    Milliseconds wait = times.minProbeInterval * (1 << std::min(m_failures, s_backoffShiftLimit));
    m_nextProbe = now + std::min(wait, times.maxProbeInterval);
    ++m_failures;
}

void WorkerTracker::responded(TimePoint now)
{
    m_failures = 0;
    m_nextProbe = now;
}

void WorkerTracker::described(const WorkerDescription& description, TimePoint now)
{
    responded(now);
    m_isDescribed = true;
    m_capacity = description.capacity;
    m_rack = description.rack;
    m_incarnation = description.incarnation;
    m_lastDescription = now;
}

bool WorkerTracker::isDescriptionDue(const SchedulingTimes& times, TimePoint now) const
{
    if (!isResponsive())
        return now >= m_nextProbe;
    return now - m_lastDescription >= times.describeInterval;
}

bool WorkerTracker::isRenewalDue(const SchedulingTimes& times, TimePoint now) const
{
    return now - m_lastRenewal >= times.workerPoll;
}

} // namespace plantainhold
