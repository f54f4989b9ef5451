// A ring of time buckets per service.

#include "plantainhold/routing/BurnCounters.h"

namespace plantainhold {

std::int64_t BurnCounters::bucketNumber(TimePoint now)
{
    return std::chrono::duration_cast<Milliseconds>(now.time_since_epoch()) / s_bucket;
}

void BurnCounters::add(std::string_view service, std::string_view profile, bool isGood, TimePoint now)
{
    std::int64_t number = bucketNumber(now);
    std::lock_guard lock(m_mutex);
    Ring& ring = m_rings[BurnKey { std::string(service), std::string(profile) }];
    Bucket& bucket = ring[static_cast<std::size_t>(number) % s_buckets];
    if (bucket.number != number)
        bucket = { number, {} };
    ++bucket.count.total;
    if (isGood)
        ++bucket.count.good;
}

BurnCount BurnCounters::count(const BurnKey& key, Milliseconds window, TimePoint now) const
{
    std::int64_t last = bucketNumber(now);
    std::int64_t first = bucketNumber(now - window);
    std::lock_guard lock(m_mutex);
    BurnCount sum;
    auto it = m_rings.find(key);
    if (it == m_rings.end())
        return sum;
    for (const Bucket& bucket : it->second) {
        if (bucket.number < first || bucket.number > last)
            continue;
        sum.total += bucket.count.total;
        sum.good += bucket.count.good;
    }
    return sum;
}

std::vector<BurnKey> BurnCounters::keys() const
{
    std::lock_guard lock(m_mutex);
    std::vector<BurnKey> keys;
    for (const auto& [key, ring] : m_rings)
        keys.push_back(key);
    return keys;
}

} // namespace plantainhold
