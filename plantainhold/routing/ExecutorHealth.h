// What this instance has learnt about one executor from its own requests:
// failing, slow, refusing, or leaving by its own word. Evidence, not opinion:
// a probe with one request at a time ends each verdict but "leaving".
#pragma once

#include "plantainhold/ports/Clock.h"

#include <cstdint>

namespace plantainhold {

enum class HealthState : std::uint8_t {
    Healthy,
    // Gets nothing until the ejection ends.
    Ejected,
    // Gets one request at a time until one is answered.
    Probing,
    // Has said that it is leaving.
    Leaving,
};

class ExecutorHealth {
public:
    static constexpr std::uint32_t s_failuresToEject = 3;
    static constexpr std::uint32_t s_connectFailuresToEject = 2;
    static constexpr Milliseconds s_firstEjection { 1000 };
    static constexpr Milliseconds s_longestEjection { 30'000 };
    // A first "Connection: close" may only end that connection; a second within
    // this time, on another one, means that the executor leaves.
    static constexpr Milliseconds s_closingWindow { 3000 };
    static constexpr Milliseconds s_closingBackoff { 1000 };
    static constexpr Milliseconds s_leavingHold { 60'000 };
    static constexpr Milliseconds s_refusalHold { 1000 };

    // Not thread-safe, as all that follows.

    // A whole answer came. slowness: its latency over the service's usual one.
    // True when this ended an ejection.
    bool succeeded(double slowness, TimePoint now);

    // An attempt failed without a whole answer. isConnect: no connection could be
    // made. True when the executor should be ejected; the caller decides whether
    // the ceiling allows it and then calls eject().
    bool failed(bool isConnect, TimePoint now);
    void eject(TimePoint now);

    // The executor refused a request; `running` were in flight besides it.
    void refused(std::uint32_t running, TimePoint now);

    // An answer left its connection open.
    void keptOpen() { m_hasKeptOpen = true; }

    // An answer announced the end of its connection. True when this was the sign
    // that the executor leaves; one that never kept any open gives no such sign.
    bool closeAnnounced(TimePoint now);

    // The list has it again after it was gone, or under another address.
    void reset();

    HealthState state(TimePoint now) const;

    // How many requests may be in flight, of `share` slots.
    std::uint32_t limit(std::uint32_t share, TimePoint now) const;

    // Its usual latency over that of the service; 1 is normal. Fades to 1 while
    // no answers come, so that a recovered executor is tried again.
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
