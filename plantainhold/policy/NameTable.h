// Interns repeated names, such as teams, racks and task kinds, as small integers to
// keep the task records small. The table is bounded: once it is full, all new names
// share the last identifier.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace plantainhold {

using NameId = std::uint32_t;

class NameTable {
public:
    // Precondition: limit >= 1. No method of this class is thread-safe.
    explicit NameTable(std::size_t limit);

    // Returns the identifier of the name, which is assigned on its first use.
    NameId idOf(std::string_view name);
    // Precondition: id was returned by idOf().
    const std::string& nameOf(NameId id) const { return m_names[id]; }
    std::size_t size() const { return m_names.size(); }

private:
    const std::size_t m_limit;
    std::vector<std::string> m_names;
    std::unordered_map<std::string, NameId> m_ids;
};

} // namespace plantainhold
