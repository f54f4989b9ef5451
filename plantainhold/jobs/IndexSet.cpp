#include "plantainhold/jobs/IndexSet.h"

#include <algorithm>
#include <iterator>

namespace plantainhold {

void IndexSet::insert(IndexRange range)
{
    if (!range.count)
        return;
    std::uint32_t first = range.first;
    std::uint32_t end = range.end();
    auto it = m_ranges.upper_bound(first);
    if (it != m_ranges.begin() && std::prev(it)->second >= first)
        --it;
    // Merges all ranges that touch the new one.
    while (it != m_ranges.end() && it->first <= end) {
        first = std::min(first, it->first);
        end = std::max(end, it->second);
        m_count -= it->second - it->first;
        it = m_ranges.erase(it);
    }
    m_ranges.emplace_hint(it, first, end);
    m_count += end - first;
}

bool IndexSet::contains(std::uint32_t index) const
{
    auto it = m_ranges.upper_bound(index);
    return it != m_ranges.begin() && index < std::prev(it)->second;
}

std::uint32_t IndexSet::firstMissing() const
{
    auto it = m_ranges.begin();
    return it == m_ranges.end() || it->first > 0 ? 0 : it->second;
}

std::vector<IndexRange> IndexSet::ranges() const
{
    std::vector<IndexRange> ranges;
    for (const auto& [first, end] : m_ranges)
        ranges.push_back({ first, end - first });
    return ranges;
}

} // namespace plantainhold
