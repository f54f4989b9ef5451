// A set of indexes that takes memory by its ranges of consecutive ones, not by its size: the occurrences of a job are
// done, and the tasks of a step placed, nearly in the order of their numbers.
#pragma once

#include "plantainhold/jobs/IndexRange.h"

#include <cstdint>
#include <map>
#include <vector>

namespace plantainhold {

class IndexSet {
public:
    // Adds all indexes of the range; those that are contained already stay. Precondition: the range ends at
    // 2^32 - 1 or before. No method of this class is thread-safe.
    void insert(IndexRange range);
    void insert(std::uint32_t index) { insert(IndexRange { index, 1 }); }
    bool contains(std::uint32_t index) const;
    // Number of indexes.
    std::uint32_t count() const { return m_count; }
    // Returns the lowest index that is not contained.
    std::uint32_t firstMissing() const;
    // Returns the ranges in ascending order; no two of them touch.
    std::vector<IndexRange> ranges() const;

private:
    // First index and end of each range.
    std::map<std::uint32_t, std::uint32_t> m_ranges;
    std::uint32_t m_count = 0;
};

} // namespace plantainhold
