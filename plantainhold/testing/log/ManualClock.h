// A clock that moves only when a test says so.
#pragma once

#include "plantainhold/ports/Clock.h"

#include <atomic>

namespace plantainhold {

class ManualClock final : public Clock {
public:
    // Any start but zero: code must not take the epoch for "never".
    TimePoint now() const override { return TimePoint(Milliseconds(1'000'000 + m_elapsedMs)); }

    void advance(Milliseconds duration) { m_elapsedMs += duration.count(); }

private:
    std::atomic<std::int64_t> m_elapsedMs { 0 };
};

} // namespace plantainhold
