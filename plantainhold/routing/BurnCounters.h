// Counts requests and those that met their objective, per service and profile.
// Two resolutions: ten seconds for the last hour, five minutes for three days, so
// that memory stays fixed and short windows stay sharp.
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

// The counts of one five-minute bucket; its number counts buckets since the
// epoch of the wall clock, which instances share well enough for a report.
struct BurnBucket {
    BurnKey key;
    std::int64_t number = 0;
    BurnCount count;
};

class BurnCounters {
public:
    BurnCounters();

    // Adds one finished request. Thread-safe, as all that follows.
    void add(std::string_view service, std::string_view profile, bool isGood, TimePoint now);

    // What was counted within the window that ends now. Windows beyond an hour
    // are cut to whole buckets of five minutes.
    BurnCount count(const BurnKey& key, Milliseconds window, TimePoint now) const;
    std::vector<BurnKey> keys() const;

    // The last hour in buckets of ten seconds, oldest first; empty ones are left out.
    std::vector<BurnSeries::Point> recentPoints(const BurnKey& key, TimePoint now) const;

    // Five-minute buckets that changed since the last call, with all they hold.
    std::vector<BurnBucket> takeChanged();

    // Milliseconds of the wall clock at a monotonic time.
    std::int64_t wallMs(TimePoint now) const;

    static constexpr Milliseconds s_fineBucket { 10'000 };
    static constexpr Milliseconds s_coarseBucket { 300'000 };
    static constexpr Milliseconds s_fineWindow { 3'600'000 };

private:
    struct Entry {
        Entry();
        BurnSeries fine;
        BurnSeries coarse;
        // Number of the oldest coarse bucket that takeChanged() has not returned since it changed.
        std::int64_t changedFrom = 0;
    };

    // Fixes the offset between the clocks once, so that a step of the wall clock
    // moves no count.
    const std::int64_t m_wallOffsetMs;
    mutable std::mutex m_mutex;
    std::map<BurnKey, Entry> m_entries;
};

} // namespace plantainhold
