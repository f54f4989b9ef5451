// Counts all requests and those that met their objective, per service and
// profile. Keeps 10 s buckets for the last hour and 5 min buckets for three days,
// which bounds memory and keeps short windows precise.
#pragma once

#include "plantainhold/ports/Clock.h"
#include "plantainhold/routing/BurnSeries.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace plantainhold {

struct BurnKey {
    std::string service;
    std::string profile;
    auto operator<=>(const BurnKey&) const = default;
};

// The counts of one five-minute bucket. Buckets are numbered from the epoch of
// the wall clock, which is synchronised well enough between instances for reports.
struct BurnBucket {
    BurnKey key;
    std::int64_t number = 0;
    BurnCount count;
};

class BurnCounters {
public:
    BurnCounters();

    // Adds one finished request. All member functions are thread-safe.
    void add(std::string_view service, std::string_view profile, bool isGood, TimePoint now);

    // Returns the counts of the window that ends now. A window longer than an
    // hour has a resolution of five minutes.
    BurnCount count(const BurnKey& key, Milliseconds window, TimePoint now) const;
    std::vector<BurnKey> keys() const;

    // Returns the non-empty 10 s buckets of the last hour, oldest first.
    std::vector<BurnSeries::Point> recentPoints(const BurnKey& key, TimePoint now) const;

    // Returns the five-minute buckets that changed since the last call, with
    // their total counts.
    std::vector<BurnBucket> takeChanged();

    // Converts a monotonic time to milliseconds of the wall clock.
    std::int64_t wallMs(TimePoint now) const;

    static constexpr Milliseconds s_fineBucket { 10'000 };
    static constexpr Milliseconds s_coarseBucket { 300'000 };
    static constexpr Milliseconds s_fineWindow { 3'600'000 };

private:
    struct Entry {
        Entry();
        BurnSeries fine;
        BurnSeries coarse;
        // Number of the oldest coarse bucket that changed since takeChanged() last returned it.
        std::int64_t changedFrom = 0;
    };

    // The offset between the clocks is read once, so that a step of the wall
    // clock does not move counts to other buckets.
    const std::int64_t m_wallOffsetMs;
    mutable std::mutex m_mutex;
    std::map<BurnKey, Entry> m_entries;
};

} // namespace plantainhold
