// RetryAdvice tells callers whose requests the store did not take when to come back: when an
// outage that has lasted this long, beside those seen before, is likely to be over. Callers are
// spread over some seconds, so that their return is not another burst.
#pragma once

#include "plantainhold/ports/Clock.h"

#include <cstdint>
#include <string_view>

namespace plantainhold {

class RetryAdvice {
public:
    // Records that a request was stored, or that one was refused. No method of this class is
    // thread-safe.
    void recordStored(TimePoint now);
    void recordRefused(TimePoint now);
    // Returns the delay in whole seconds, at least 1. The same id gets the same place in the spread.
    std::uint32_t retryAfterSeconds(std::string_view id, TimePoint now) const;

private:
    double outageSeconds(TimePoint now) const;

    // Since when nothing could be stored; max() while there is no outage.
    TimePoint m_outageSince = TimePoint::max();
    // Smoothed length of the outages that have ended; 0 before the first one.
    double m_typicalOutageSeconds = 0;
};

} // namespace plantainhold
