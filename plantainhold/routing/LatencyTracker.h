// Estimates quantiles of the recent latencies of one service. It uses logarithmic
// buckets whose counts are halved every half-life: memory is fixed, each operation
// takes constant time, and old samples lose weight.
#pragma once

#include "plantainhold/ports/Clock.h"

#include <array>
#include <cstdint>

namespace plantainhold {

class LatencyTracker {
public:
    // No member function is thread-safe.
    void add(Duration latency, TimePoint now);

    // Returns the latency that `permille` of a thousand recent requests did not
    // exceed. The result is at most one bucket (20%) too high; zero without samples.
    Duration quantile(std::uint32_t permille) const;

    // Returns the arithmetic mean, estimated from the buckets; zero without samples.
    Duration mean() const;

    // Returns whether there are enough samples to base decisions on.
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
