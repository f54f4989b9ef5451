// Interning of names with a bounded table.
#include "plantainhold/policy/NameTable.h"

namespace plantainhold {

NameTable::NameTable(std::size_t limit)
    : m_limit(limit)
{
}

NameId NameTable::idOf(std::string_view name)
{
    std::string key(name);
    auto it = m_ids.find(key);
    if (it != m_ids.end())
        return it->second;
    if (m_names.size() == m_limit)
        return static_cast<NameId>(m_limit - 1);
    auto id = static_cast<NameId>(m_names.size());
    m_names.push_back(key);
    m_ids.emplace(std::move(key), id);
    return id;
}

} // namespace plantainhold
