// Health of one executor as observed by this instance's own requests: failing,
// slow, refusing requests, or announcing that it leaves. Every state except
// Leaving ends when a single probe request succeeds.
#pragma once

#include "plantainhold/ports/Clock.h"

#include <cstdint>

namespace plantainhold {

enum class HealthState : std::uint8_t {
    Healthy,
    // Receives no requests until the ejection ends.
    Ejected,
    // Receives one request at a time until one succeeds.
    Probing,
    // Has announced that it is leaving.
    Leaving,
};

class ExecutorHealth {
public:
    static constexpr std::uint32_t s_failuresToEject = 3;
    static constexpr std::uint32_t s_connectFailuresToEject = 2;
    static constexpr Milliseconds s_firstEjection { 1000 };
    static constexpr Milliseconds s_longestEjection { 30'000 };
    // The first "Connection: close" may concern only that connection. A second
    // one within this time, on another connection, means that the executor leaves.
    static constexpr Milliseconds s_closingWindow { 3000 };
    static constexpr Milliseconds s_closingBackoff { 1000 };
    static constexpr Milliseconds s_leavingHold { 60'000 };
    static constexpr Milliseconds s_refusalHold { 1000 };

    // No member function is thread-safe.

    // Records a complete response. slowness is the ratio of its latency to the
    // service's usual latency. Returns true if this ended an ejection.
    bool succeeded(double slowness, TimePoint now);

    // Records an attempt that failed without a complete response. isConnect means
    // that the connection could not be established. Returns true if the executor
    // should be ejected; the caller checks the ejection ceiling and calls eject().
    bool failed(bool isConnect, TimePoint now);
    void eject(TimePoint now);

    // Records that the executor refused a request while `running` others were in flight.
    void refused(std::uint32_t running, TimePoint now);

    // Records that a response left its connection open.
    void keptOpen() { m_hasKeptOpen = true; }

    // Records a response that announced the close of its connection. Returns true
    // if this shows that the executor leaves. An executor that never kept a
    // connection open is not considered leaving.
    bool closeAnnounced(TimePoint now);

    // Resets all state. Call it when the executor returns to the list or changes
    // its address.
    void reset();

    HealthState state(TimePoint now) const;

    // Returns how many requests may be in flight, at most `share`.
    std::uint32_t limit(std::uint32_t share, TimePoint now) const;

    // Returns the ratio of the executor's usual latency to the service's; 1 is
    // normal. Decays to 1 while there are no responses, so that a recovered
    // executor is tried again.
    double slowness(TimePoint now) const;

private:
    std::uint32_t m_failures = 0;
    std::uint32_t m_connectFailures = 0;
    std::uint32_t m_ejections = 0;
    TimePoint m_ejectedUntil {};
    bool m_isOnProbation = false;
    bool m_hasKeptOpen = false;
    TimePoint m_closingAt {};
    TimePoint m_leavingUntil {};
    std::uint32_t m_refusalLimit = s_noLimit;
    TimePoint m_refusedAt {};
    double m_slowness = 1;
    TimePoint m_measuredAt {};

    static constexpr std::uint32_t s_noLimit = 1 << 30;
};

} // namespace plantainhold
