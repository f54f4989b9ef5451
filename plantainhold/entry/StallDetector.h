// Notices that something makes no progress. Time is counted in the watch's own steps:
// while the process does not run, as on a machine that is suspended or starved, no step
// is made, so that a pause of the whole process is not taken for a stall.
#pragma once

#include "plantainhold/ports/Clock.h"

#include <cstdint>

namespace plantainhold {

class StallDetector {
public:
    // The time between two steps.
    explicit StallDetector(Milliseconds step)
        : m_step(step)
    {
    }

    // One step. True when the progress has been the same for the limit or longer.
    // Not thread-safe, as the whole class.
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
