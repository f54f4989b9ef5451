// Bucket b counts latencies up to s_smallest * s_growth^b.

#include "plantainhold/routing/LatencyTracker.h"

#include <algorithm>
#include <cmath>

namespace plantainhold {

std::size_t LatencyTracker::bucketOf(Duration latency)
{
    if (latency <= s_smallest)
        return 0;
    double ratio = static_cast<double>(latency.count()) / static_cast<double>(s_smallest.count());
    auto bucket = static_cast<std::size_t>(std::ceil(std::log(ratio) / std::log(s_growth)));
    return std::min(bucket, s_buckets - 1);
}

Duration LatencyTracker::upperBound(std::size_t bucket)
{
    return Duration(static_cast<Duration::rep>(static_cast<double>(s_smallest.count()) * std::pow(s_growth, static_cast<double>(bucket))));
}

void LatencyTracker::add(Duration latency, TimePoint now)
{
    decay(now);
    ++m_counts[bucketOf(latency)];
    ++m_total;
}

void LatencyTracker::decay(TimePoint now)
{
    if (m_total == 0)
        m_decayedAt = now;
    while (now - m_decayedAt >= s_halfLife && m_total > 0) {
        m_total = 0;
        for (double& it : m_counts) {
            it = it < 0.5 ? 0 : it / 2;
            m_total += it;
        }
        m_decayedAt += s_halfLife;
    }
}

Duration LatencyTracker::quantile(std::uint32_t permille) const
{
    if (m_total <= 0)
        return {};
    constexpr double s_thousand = 1000;
    double rank = m_total * permille / s_thousand;
    double seen = 0;
    std::size_t last = 0;
    for (std::size_t i = 0; i < s_buckets; ++i) {
        if (m_counts[i] <= 0)
            continue;
        seen += m_counts[i];
        last = i;
        if (seen >= rank)
            break;
    }
    return upperBound(last);
}

Duration LatencyTracker::mean() const
{
    if (m_total <= 0)
        return {};
    double sum = 0;
    for (std::size_t i = 0; i < s_buckets; ++i) {
        if (m_counts[i] > 0)
            sum += m_counts[i] * static_cast<double>(upperBound(i).count());
    }
    // The geometric middle of a bucket is half a growth step below its upper bound.
    return Duration(static_cast<Duration::rep>(sum / m_total / std::sqrt(s_growth)));
}

} // namespace plantainhold
