// Gives small numbers to names that repeat, such as teams, racks and task kinds,
// so that the records of tasks stay small. The table is bounded: past its limit
// all new names share the last number.
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
    // Precondition: limit >= 1. Not thread-safe, as the class.
    explicit NameTable(std::size_t limit);

    // The number of the name, given on its first use.
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
