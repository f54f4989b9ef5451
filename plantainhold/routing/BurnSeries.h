// A ring buffer of request counts in time buckets of equal length.
#pragma once

#include "plantainhold/ports/Clock.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace plantainhold {

struct BurnCount {
    std::uint64_t total = 0;
    std::uint64_t good = 0;

    BurnCount& operator+=(const BurnCount& other)
    {
        total += other.total;
        good += other.good;
        return *this;
    }
    bool operator==(const BurnCount&) const = default;
};

class BurnSeries {
public:
    struct Point {
        std::int64_t number = 0;
        BurnCount count;
    };

    // Keeps the newest `capacity` buckets of `bucket` length each.
    BurnSeries(Milliseconds bucket, std::size_t capacity);

    // Adds to the bucket that contains the time `atMs` (milliseconds). A time
    // older than the ring is ignored. No member function is thread-safe.
    void add(std::int64_t atMs, const BurnCount& count);

    // Returns the sum over the buckets that overlap the window ending at `nowMs`.
    BurnCount sum(std::int64_t nowMs, Milliseconds window) const;

    // Returns the non-empty buckets from `number` on, oldest first.
    std::vector<Point> pointsFrom(std::int64_t number) const;

    std::int64_t numberAt(std::int64_t atMs) const { return atMs / m_bucket.count(); }

private:
    const Milliseconds m_bucket;
    std::vector<Point> m_ring;
};

} // namespace plantainhold
