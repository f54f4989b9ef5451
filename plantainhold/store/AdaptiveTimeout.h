// How long to wait for an answer, from how long answers took: the smoothed time
// and four times its smoothed deviation, as TCP does (RFC 6298). A timeout doubles
// the wait, so that a slow store is not asked again and again for the same thing.
#pragma once

#include "plantainhold/ports/Clock.h"

#include <algorithm>
#include <cmath>
#include <cstdint>

namespace plantainhold {

class AdaptiveTimeout {
public:
    AdaptiveTimeout(Milliseconds min, Milliseconds max)
        : m_min(min)
        , m_max(max)
        , m_backoff(min)
    {
    }

    // Not thread-safe, as the whole class.
    void recordResponse(Duration took)
    {
        auto ms = static_cast<double>(std::chrono::duration_cast<Milliseconds>(took).count());
        m_deviation += s_deviationGain * (std::abs(ms - m_smoothed) - m_deviation);
        m_smoothed += s_gain * (ms - m_smoothed);
        m_backoff = m_min;
    }
    void recordTimeout() { m_backoff = std::min(m_max, 2 * current()); }

    Milliseconds current() const
    {
        Milliseconds expected { static_cast<std::int64_t>(m_smoothed + 4 * m_deviation) };
        return std::clamp(std::max(expected, m_backoff), m_min, m_max);
    }

private:
    static constexpr double s_gain = 0.125;
    static constexpr double s_deviationGain = 0.25;

    const Milliseconds m_min;
    const Milliseconds m_max;
    Milliseconds m_backoff;
    double m_smoothed = 0;
    double m_deviation = 0;
};

} // namespace plantainhold
