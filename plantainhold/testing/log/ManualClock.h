// Clock for tests that advances only when advance() is called.
#pragma once

#include "plantainhold/ports/Clock.h"

#include <atomic>

namespace plantainhold {

class ManualClock final : public Clock {
public:
    // Starts at a non-zero time, so that tests detect code that confuses the epoch with
    // an unset time.
    TimePoint now() const override { return TimePoint(Milliseconds(1'000'000 + m_elapsedMs)); }

    void advance(Milliseconds duration) { m_elapsedMs += duration.count(); }

private:
    std::atomic<std::int64_t> m_elapsedMs { 0 };
};

} // namespace plantainhold
