// A FIFO queue of hashes for eviction and a set for lookup.

#include "plantainhold/scheduling/EndedTaskIds.h"

#include "plantainhold/util/Hash.h"

namespace plantainhold {

EndedTaskIds::EndedTaskIds(std::size_t capacity)
    : m_capacity(capacity)
{
}

void EndedTaskIds::add(std::string_view id)
{
    addHash(hash64(id));
}

void EndedTaskIds::addHash(std::uint64_t hash)
{
    if (!m_hashes.insert(hash).second)
        return;
    m_order.push_back(hash);
    if (m_order.size() <= m_capacity)
        return;
    m_hashes.erase(m_order.front());
    m_order.pop_front();
}

bool EndedTaskIds::contains(std::string_view id) const
{
    return m_hashes.contains(hash64(id));
}

} // namespace plantainhold
