// Consecutive indexes of tasks, steps or occurrences.
#pragma once

#include <cstdint>

namespace plantainhold {

struct IndexRange {
    std::uint32_t first = 0;
    std::uint32_t count = 0;

    std::uint32_t end() const { return first + count; }
    bool operator==(const IndexRange&) const = default;
};

} // namespace plantainhold
