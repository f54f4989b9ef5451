// Quantiles of recent run times of one service. Logarithmic buckets whose counts
// are halved every few seconds: fixed memory, constant time, and old load fades.
#pragma once

#include "plantainhold/ports/Clock.h"

#include <array>
#include <cstdint>

namespace plantainhold {

class LatencyTracker {
public:
    // Not thread-safe, as all that follows.
    void add(Duration latency, TimePoint now);

    // The latency that `permille` of a thousand recent requests did not exceed,
    // at most one bucket (a fifth) too high; zero without samples.
    Duration quantile(std::uint32_t permille) const;

    // Arithmetic mean, from the same buckets; zero without samples.
    Duration mean() const;

    // Whether there are enough samples to decide on.
    bool hasEnoughSamples() const { return m_total >= s_minSamples; }

private:
    static constexpr std::size_t s_buckets = 96;
    static constexpr double s_growth = 1.2;
    // Upper bound of the first bucket.
    static constexpr Duration s_smallest = std::chrono::microseconds(50);
    static constexpr Milliseconds s_halfLife { 5000 };
    static constexpr double s_minSamples = 16;

    static std::size_t bucketOf(Duration latency);
    static Duration upperBound(std::size_t bucket);
    void decay(TimePoint now);

    std::array<double, s_buckets> m_counts {};
    double m_total = 0;
    TimePoint m_decayedAt {};
};

} // namespace plantainhold
