// Each service and profile has two ring buffers, one fine and one coarse.

#include "plantainhold/routing/BurnCounters.h"

#include <algorithm>
#include <limits>

namespace plantainhold {

namespace {

    constexpr std::size_t s_fineBuckets = 361;
    // Three days of five-minute buckets, and the current one.
    constexpr std::size_t s_coarseBuckets = 865;
    constexpr std::int64_t s_unchanged = std::numeric_limits<std::int64_t>::max();

    template <typename Clock>
    std::int64_t millisecondsOf(typename Clock::time_point time)
    {
        return std::chrono::duration_cast<Milliseconds>(time.time_since_epoch()).count();
    }

} // namespace

BurnCounters::Entry::Entry()
    : fine(s_fineBucket, s_fineBuckets)
    , coarse(s_coarseBucket, s_coarseBuckets)
    , changedFrom(s_unchanged)
{
}

BurnCounters::BurnCounters()
    : m_wallOffsetMs(millisecondsOf<std::chrono::system_clock>(std::chrono::system_clock::now()) - millisecondsOf<std::chrono::steady_clock>(std::chrono::steady_clock::now()))
{
}

std::int64_t BurnCounters::wallMs(TimePoint now) const
{
    return millisecondsOf<std::chrono::steady_clock>(now) + m_wallOffsetMs;
}

void BurnCounters::add(std::string_view service, std::string_view profile, bool isGood, TimePoint now)
{
    std::int64_t atMs = wallMs(now);
    BurnCount count { 1, isGood ? 1U : 0U };
    std::lock_guard lock(m_mutex);
    Entry& entry = m_entries[BurnKey { std::string(service), std::string(profile) }];
    entry.fine.add(atMs, count);
    entry.coarse.add(atMs, count);
    entry.changedFrom = std::min(entry.changedFrom, entry.coarse.numberAt(atMs));
}

BurnCount BurnCounters::count(const BurnKey& key, Milliseconds window, TimePoint now) const
{
    std::lock_guard lock(m_mutex);
    auto it = m_entries.find(key);
    if (it == m_entries.end())
        return {};
    const BurnSeries& series = window <= s_fineWindow ? it->second.fine : it->second.coarse;
    return series.sum(wallMs(now), window);
}

std::vector<BurnKey> BurnCounters::keys() const
{
    std::lock_guard lock(m_mutex);
    std::vector<BurnKey> keys;
    for (const auto& [key, entry] : m_entries)
        keys.push_back(key);
    return keys;
}

std::vector<BurnSeries::Point> BurnCounters::recentPoints(const BurnKey& key, TimePoint now) const
{
    std::lock_guard lock(m_mutex);
    auto it = m_entries.find(key);
    if (it == m_entries.end())
        return {};
    const BurnSeries& fine = it->second.fine;
    return fine.pointsFrom(fine.numberAt(wallMs(now) - s_fineWindow.count()));
}

std::vector<BurnBucket> BurnCounters::takeChanged()
{
    std::vector<BurnBucket> changed;
    std::lock_guard lock(m_mutex);
    for (auto& [key, entry] : m_entries) {
        for (const BurnSeries::Point& it : entry.coarse.pointsFrom(entry.changedFrom))
            changed.push_back({ key, it.number, it.count });
        entry.changedFrom = s_unchanged;
    }
    return changed;
}

} // namespace plantainhold
