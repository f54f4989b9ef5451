// EndedTaskIds remembers, in bounded memory, the ids of ended tasks, so that a
// late duplicate of a submission does not run the task again. It stores 64-bit
// hashes of the newest ids and discards the oldest ones.
// Not thread-safe.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string_view>
#include <unordered_set>

namespace plantainhold {

class EndedTaskIds {
public:
    explicit EndedTaskIds(std::size_t capacity);

    void add(std::string_view id);
    void addHash(std::uint64_t hash);
    bool contains(std::string_view id) const;
    // Returns the hashes, oldest first.
    const std::deque<std::uint64_t>& hashes() const { return m_order; }

private:
    std::size_t m_capacity;
    std::deque<std::uint64_t> m_order;
    std::unordered_set<std::uint64_t> m_hashes;
};

} // namespace plantainhold
