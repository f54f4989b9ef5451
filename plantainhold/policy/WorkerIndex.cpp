// The tournament tree over the workers' capacities.
#include "plantainhold/policy/WorkerIndex.h"

#include <algorithm>
#include <bit>

namespace plantainhold {

namespace {

    constexpr Resources s_noCapacity { -1, -1, -1 };

    Resources maximum(const Resources& a, const Resources& b)
    {
        return { std::max(a.millicores, b.millicores), std::max(a.memoryMib, b.memoryMib), std::max(a.accelerators, b.accelerators) };
    }

} // namespace

void WorkerIndex::set(WorkerSlot slot, const Resources& capacity)
{
    if (slot >= m_size)
        grow(slot + std::size_t(1));
    std::size_t node = m_leaves + slot;
    m_nodes[node] = capacity;
    for (node /= 2; node >= 1; node /= 2)
        pull(node);
}

void WorkerIndex::grow(std::size_t slots)
{
    m_size = slots;
    if (slots <= m_leaves)
        return;
    std::vector<Resources> leaves(m_nodes.begin() + static_cast<std::ptrdiff_t>(m_leaves), m_nodes.end());
    m_leaves = std::bit_ceil(slots);
    m_nodes.assign(2 * m_leaves, s_noCapacity);
    std::copy(leaves.begin(), leaves.end(), m_nodes.begin() + static_cast<std::ptrdiff_t>(m_leaves));
    for (std::size_t node = m_leaves - 1; node >= 1; --node)
        pull(node);
}

void WorkerIndex::pull(std::size_t node)
{
    m_nodes[node] = maximum(m_nodes[2 * node], m_nodes[2 * node + 1]);
}

void WorkerIndex::collect(const Resources& demand, WorkerSlot start, std::size_t limit, std::vector<WorkerSlot>& found) const
{
    found.clear();
    if (!m_size)
        return;
    start %= static_cast<WorkerSlot>(m_size);
    descend({ demand, start, m_size, limit, found }, 1, 0, m_leaves);
    descend({ demand, 0, start, limit, found }, 1, 0, m_leaves);
}

void WorkerIndex::descend(const Query& query, std::size_t node, std::size_t first, std::size_t width) const
{
    bool isOutside = first + width <= query.begin || first >= query.end;
    if (isOutside || query.found.size() >= query.limit || !query.demand.fitsIn(m_nodes[node]))
        return;
    if (width == 1) {
        query.found.push_back(static_cast<WorkerSlot>(first));
        return;
    }
    descend(query, 2 * node, first, width / 2);
    descend(query, 2 * node + 1, first + width / 2, width / 2);
}

} // namespace plantainhold
