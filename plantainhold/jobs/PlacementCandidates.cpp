#include "plantainhold/jobs/PlacementCandidates.h"

#include <algorithm>
#include <tuple>

namespace plantainhold {

bool PlacementCandidates::costsMore(const Choice& a, const Choice& b)
{
    return std::tie(a.cost, a.index) > std::tie(b.cost, b.index);
}

void PlacementCandidates::clear()
{
    m_heap.clear();
    m_isBuilt = false;
}

void PlacementCandidates::build(std::size_t n, const Evaluate& evaluate)
{
    clear();
    for (std::size_t i = 0; i < n; ++i) {
        if (std::optional<double> cost = evaluate(i))
            m_heap.push_back({ i, *cost });
    }
    std::make_heap(m_heap.begin(), m_heap.end(), costsMore);
    m_isBuilt = true;
}

std::optional<PlacementCandidates::Choice> PlacementCandidates::best(const Evaluate& evaluate)
{
    while (!m_heap.empty()) {
        Choice first = m_heap.front();
        std::optional<double> cost = evaluate(first.index);
        if (cost && *cost <= first.cost)
            return first;
        std::pop_heap(m_heap.begin(), m_heap.end(), costsMore);
        m_heap.pop_back();
        if (!cost)
            continue;
        m_heap.push_back({ first.index, *cost });
        std::push_heap(m_heap.begin(), m_heap.end(), costsMore);
    }
    return std::nullopt;
}

} // namespace plantainhold
