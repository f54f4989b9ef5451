// Time as the decisions see it. Only the monotonic clock is trusted, and only
// for intervals within one process.
#pragma once

#include <chrono>

namespace plantainhold {

using Duration = std::chrono::steady_clock::duration;
using TimePoint = std::chrono::steady_clock::time_point;
using Milliseconds = std::chrono::milliseconds;

class Clock {
public:
    virtual ~Clock() = default;

    // Thread-safe.
    virtual TimePoint now() const = 0;
};

} // namespace plantainhold
