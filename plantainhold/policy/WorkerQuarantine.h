// Quarantines workers that fail tasks which succeed elsewhere. A quarantined worker gets
// one probe task at a time, with exponential backoff while probes fail. A ceiling on the
// quarantined share of the fleet keeps a fault elsewhere from removing all workers.
#pragma once

#include "plantainhold/policy/WorkerIndex.h"
#include "plantainhold/ports/Clock.h"

#include <cstddef>
#include <map>
#include <vector>

namespace plantainhold {

class WorkerQuarantine {
public:
    static constexpr std::size_t s_ceilingPercent = 10;
    static constexpr Milliseconds s_firstBackoff { 60'000 };
    static constexpr Milliseconds s_maxBackoff { 1'800'000 };
    static constexpr std::uint32_t s_probesToRelease = 2;

    // Returns how many workers may be quarantined at the same time; at least one.
    static std::size_t ceiling(std::size_t liveWorkers);

    // Quarantines the worker. Returns false if the ceiling is reached; the worker then
    // continues to receive work. No method of this class is thread-safe.
    bool quarantine(WorkerSlot worker, std::size_t liveWorkers, TimePoint now);
    bool isQuarantined(WorkerSlot worker) const { return m_entries.contains(worker); }
    std::size_t size() const { return m_entries.size(); }

    // Returns the workers that may receive a probe now.
    std::vector<WorkerSlot> dueForProbe(TimePoint now) const;
    // Precondition of this and the following probe methods: the worker is quarantined.
    void probeStarted(WorkerSlot worker);
    // Returns whether the worker is released, after s_probesToRelease successes in a row.
    bool probeSucceeded(WorkerSlot worker, TimePoint now);
    void probeFailed(WorkerSlot worker, TimePoint now);
    // Records that the probe ended without a result, because of an eviction or an expired lease.
    void probeInconclusive(WorkerSlot worker);
    // Removes a worker that left the fleet; does nothing if it is not quarantined.
    void forget(WorkerSlot worker) { m_entries.erase(worker); }

private:
    struct Entry {
        Milliseconds backoff;
        TimePoint nextProbe;
        std::uint32_t successes = 0;
        bool isProbing = false;
    };

    // Ordered, so that replays make the same decisions.
    std::map<WorkerSlot, Entry> m_entries;
};

} // namespace plantainhold
