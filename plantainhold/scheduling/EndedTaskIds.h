// Remembers, in bounded memory, the ids of tasks that ended, so that a late
// repeat of their submission does not run them again. Keeps 64-bit hashes of
// the newest ids; the oldest make room.
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

    // Not thread-safe, as all here.
    void add(std::string_view id);
    void addHash(std::uint64_t hash);
    bool contains(std::string_view id) const;
    // Oldest first.
    const std::deque<std::uint64_t>& hashes() const { return m_order; }

private:
    std::size_t m_capacity;
    std::deque<std::uint64_t> m_order;
    std::unordered_set<std::uint64_t> m_hashes;
};

} // namespace plantainhold
