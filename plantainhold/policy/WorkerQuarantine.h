// Keeps work away from workers that fail what others run. A quarantined worker
// gets one probe at a time, ever more rarely while probes fail; a ceiling on the
// quarantined share keeps a fault elsewhere from emptying the fleet.
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
    static constexpr Milliseconds s_longestBackoff { 1'800'000 };
    static constexpr std::uint32_t s_probesToRelease = 2;

    // Most workers that may be quarantined at once; at least one.
    static std::size_t ceiling(std::size_t liveWorkers);

    // False when the ceiling is reached; then the worker goes on as before. Not thread-safe, as the class.
    bool quarantine(WorkerSlot worker, std::size_t liveWorkers, TimePoint now);
    bool isQuarantined(WorkerSlot worker) const { return m_entries.contains(worker); }
    std::size_t size() const { return m_entries.size(); }

    // Workers that may be given a probe now.
    std::vector<WorkerSlot> dueForProbe(TimePoint now) const;
    // Precondition for all that follow: the worker is quarantined.
    void probeStarted(WorkerSlot worker);
    // Returns whether the worker is released.
    bool probeSucceeded(WorkerSlot worker, TimePoint now);
    void probeFailed(WorkerSlot worker, TimePoint now);
    // The probe ended without a verdict, by an eviction or a lapsed lease.
    void probeInconclusive(WorkerSlot worker);
    // The worker is gone.
    void forget(WorkerSlot worker) { m_entries.erase(worker); }

private:
    struct Entry {
        Milliseconds backoff;
        TimePoint nextProbe;
        std::uint32_t successes = 0;
        bool isProbing = false;
    };

    // Ordered, so that decisions replay alike.
    std::map<WorkerSlot, Entry> m_entries;
};

} // namespace plantainhold
