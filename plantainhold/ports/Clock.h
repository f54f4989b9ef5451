// Interface for reading the time. The decision logic relies on a monotonic clock only,
// and only for intervals within one process.
#pragma once

#include <chrono>

namespace plantainhold {

using Duration = std::chrono::steady_clock::duration;
using TimePoint = std::chrono::steady_clock::time_point;
using Milliseconds = std::chrono::milliseconds;

class Clock {
public:
    virtual ~Clock() = default;

    // Returns the current monotonic time. Thread-safe.
    virtual TimePoint now() const = 0;
};

} // namespace plantainhold
