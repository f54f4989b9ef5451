// Counts requests and those that met their objective, per service, in buckets of
// time, so that burn over any window up to the longest can be read back.
#pragma once

#include "plantainhold/ports/Clock.h"

#include <array>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace plantainhold {

struct BurnCount {
    std::uint64_t total = 0;
    std::uint64_t good = 0;
};

struct BurnKey {
    std::string service;
    std::string profile;
    auto operator<=>(const BurnKey&) const = default;
};

class BurnCounters {
public:
    // Adds one finished request. Thread-safe, as all that follows.
    void add(std::string_view service, std::string_view profile, bool isGood, TimePoint now);

    // What was counted within the window that ends now.
    BurnCount count(const BurnKey& key, Milliseconds window, TimePoint now) const;
    std::vector<BurnKey> keys() const;

private:
    static constexpr Milliseconds s_bucket { 10'000 };
    // One hour of buckets; the longest window of the burn report.
    static constexpr std::size_t s_buckets = 360;

    struct Bucket {
        std::int64_t number = -1;
        BurnCount count;
    };
    using Ring = std::array<Bucket, s_buckets>;

    static std::int64_t bucketNumber(TimePoint now);

    mutable std::mutex m_mutex;
    std::map<BurnKey, Ring> m_rings;
};

} // namespace plantainhold
