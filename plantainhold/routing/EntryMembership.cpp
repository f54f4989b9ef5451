// Keeps all sets of entry instances since shares last grew, because another
// instance may still use any of them.

#include "plantainhold/routing/EntryMembership.h"

#include "plantainhold/routing/SlotPartition.h"

#include <algorithm>
#include <utility>

namespace plantainhold {

namespace {

    constexpr std::size_t s_setLimit = 16;

} // namespace

EntryMembership::EntryMembership(std::string self, Milliseconds hold)
    : m_self(std::move(self))
    , m_hold(hold)
{
}

void EntryMembership::updateEntries(std::vector<std::string> entries, TimePoint now)
{
    std::sort(entries.begin(), entries.end());
    // A list without any entry instance must be wrong, because this instance
    // exists. Shares stay as they are and do not grow until a valid list arrives.
    bool wasEmpty = std::exchange(m_isListEmpty, entries.empty());
    if (m_isListEmpty)
        return;
    bool isSame = !m_sets.empty() && m_sets.back() == entries;
    if (isSame && !wasEmpty)
        return;
    m_stableSince = now;
    std::erase(m_sets, entries);
    m_sets.push_back(std::move(entries));
    if (m_sets.size() > s_setLimit)
        mergeOldest();
}

void EntryMembership::mergeOldest()
{
    EntrySet both;
    std::set_union(m_mergedOldest.begin(), m_mergedOldest.end(), m_sets.front().begin(), m_sets.front().end(), std::back_inserter(both));
    m_mergedOldest = std::move(both);
    m_sets.erase(m_sets.begin());
}

bool EntryMembership::settle(TimePoint now)
{
    bool isSettled = m_hasSettled && m_sets.size() == 1 && m_mergedOldest.empty();
    if (m_sets.empty() || m_isListEmpty || isSettled || now - m_stableSince < m_hold)
        return false;
    m_sets.erase(m_sets.begin(), m_sets.end() - 1);
    m_mergedOldest.clear();
    m_hasSettled = true;
    return true;
}

std::uint32_t EntryMembership::share(std::string_view key, std::uint32_t slots) const
{
    if (!m_hasSettled)
        return 0;
    std::uint32_t least = slots;
    for (const EntrySet& it : m_sets)
        least = std::min(least, partitionSlots(key, slots, it, m_self));
    if (!m_mergedOldest.empty())
        least = std::min(least, slots / static_cast<std::uint32_t>(m_mergedOldest.size()));
    return least;
}

} // namespace plantainhold
