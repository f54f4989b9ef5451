// A monotonic clock that also counts the time for which the machine was suspended,
// so that a lease cannot seem valid after a long pause.
#pragma once

#include "plantainhold/ports/Clock.h"

#include <chrono>
#include <cstdint>
#include <ctime>

namespace plantainhold {

class BootClock {
public:
    // Thread-safe.
    static TimePoint now()
    {
        timespec time {};
        clock_gettime(CLOCK_BOOTTIME, &time);
        return TimePoint(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
    }

    // Milliseconds since 1970 by the time of day, which may step. Thread-safe.
    static std::int64_t unixMs()
    {
        return std::chrono::duration_cast<Milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
    }
};

} // namespace plantainhold
