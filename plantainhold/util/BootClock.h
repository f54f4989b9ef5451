// Monotonic clock that includes the time for which the machine was suspended, so that
// an expired lease does not appear valid after a suspension.
#pragma once

#include "plantainhold/ports/Clock.h"

#include <chrono>
#include <cstdint>
#include <ctime>

namespace plantainhold {

class BootClock {
public:
    // Returns the time since boot. Thread-safe.
    static TimePoint now()
    {
        timespec time {};
        clock_gettime(CLOCK_BOOTTIME, &time);
        return TimePoint(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
    }

    // Returns milliseconds since the Unix epoch by the wall clock, which may jump.
    // Thread-safe.
    static std::int64_t unixMs()
    {
        return std::chrono::duration_cast<Milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
    }
};

} // namespace plantainhold
