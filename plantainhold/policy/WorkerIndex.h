// Finds workers whose capacity fits a demand without scanning all of them: a tournament
// tree (max segment tree) whose inner nodes hold the component-wise maximum of the
// capacities below, so that subtrees in which no worker fits the demand are skipped.
#pragma once

#include "plantainhold/ports/Resources.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace plantainhold {

using WorkerSlot = std::uint32_t;

class WorkerIndex {
public:
    // Sets the capacity of one worker. New slots below it fit no demand until they are set.
    // O(log n). No method of this class is thread-safe.
    void set(WorkerSlot slot, const Resources& capacity);

    // Replaces found by up to limit slots whose capacity fits the demand, searching from
    // slot start (modulo size()) and wrapping around. Finds at least one if any exists.
    void collect(const Resources& demand, WorkerSlot start, std::size_t limit, std::vector<WorkerSlot>& found) const;

    const Resources& capacityOf(WorkerSlot slot) const { return m_nodes[m_leaves + slot]; }
    std::size_t size() const { return m_size; }

private:
    struct Query {
        const Resources& demand;
        std::size_t begin;
        std::size_t end;
        std::size_t limit;
        std::vector<WorkerSlot>& found;
    };

    void grow(std::size_t slots);
    void pull(std::size_t node);
    void descend(const Query& query, std::size_t node, std::size_t first, std::size_t width) const;

    // In heap order: node i has the children 2i and 2i + 1, and leaves start at m_leaves.
    std::vector<Resources> m_nodes;
    std::size_t m_leaves = 0;
    std::size_t m_size = 0;
};

} // namespace plantainhold
