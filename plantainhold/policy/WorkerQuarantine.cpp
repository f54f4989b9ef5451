// Backoff and probe state of quarantined workers.
#include "plantainhold/policy/WorkerQuarantine.h"

#include <algorithm>

namespace plantainhold {

std::size_t WorkerQuarantine::ceiling(std::size_t liveWorkers)
{
    return std::max<std::size_t>(1, liveWorkers * s_ceilingPercent / 100);
}

bool WorkerQuarantine::quarantine(WorkerSlot worker, std::size_t liveWorkers, TimePoint now)
{
    if (isQuarantined(worker))
        return true;
    if (m_entries.size() >= ceiling(liveWorkers))
        return false;
    m_entries[worker] = { s_firstBackoff, now + s_firstBackoff, 0, false };
    return true;
}

std::vector<WorkerSlot> WorkerQuarantine::dueForProbe(TimePoint now) const
{
    std::vector<WorkerSlot> due;
    for (const auto& [worker, entry] : m_entries) {
        if (!entry.isProbing && entry.nextProbe <= now)
            due.push_back(worker);
    }
    return due;
}

void WorkerQuarantine::probeStarted(WorkerSlot worker)
{
    m_entries.at(worker).isProbing = true;
}

bool WorkerQuarantine::probeSucceeded(WorkerSlot worker, TimePoint now)
{
    Entry& entry = m_entries.at(worker);
    entry.isProbing = false;
    entry.nextProbe = now;
    if (++entry.successes < s_probesToRelease)
        return false;
    m_entries.erase(worker);
    return true;
}

void WorkerQuarantine::probeFailed(WorkerSlot worker, TimePoint now)
{
    Entry& entry = m_entries.at(worker);
    entry.isProbing = false;
    entry.successes = 0;
    entry.backoff = std::min(2 * entry.backoff, s_maxBackoff);
    entry.nextProbe = now + entry.backoff;
}

void WorkerQuarantine::probeInconclusive(WorkerSlot worker)
{
    m_entries.at(worker).isProbing = false;
}

} // namespace plantainhold
