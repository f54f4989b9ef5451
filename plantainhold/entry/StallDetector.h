// StallDetector detects that an activity makes no progress. Time is counted in the
// detector's own steps: while the process does not run, as on a machine that is
// suspended or starved, no step is made, so a pause of the whole process is not
// mistaken for a stall.
#pragma once

#include "plantainhold/ports/Clock.h"

#include <cstdint>

namespace plantainhold {

class StallDetector {
public:
    // `step` is the time between two calls of isStalled().
    explicit StallDetector(Milliseconds step)
        : m_step(step)
    {
    }

    // Makes one step. Returns true if the progress has not changed for the limit or
    // longer. The class is not thread-safe.
    bool isStalled(std::uint64_t progress, Milliseconds limit)
    {
        m_waited = progress == m_seen ? m_waited + m_step : Milliseconds(0);
        m_seen = progress;
        return m_waited >= limit;
    }

private:
    const Milliseconds m_step;
    Milliseconds m_waited { 0 };
    std::uint64_t m_seen = 0;
};

} // namespace plantainhold
