// AdaptiveTimeout computes a timeout for calls from the duration of previous ones: the
// smoothed response time plus four times its smoothed deviation, as TCP does
// (RFC 6298). Each timeout doubles the value, so that a slow store does not receive
// the same request again and again.
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

    // Records how long a call took and ends the backoff. The class is not thread-safe.
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
