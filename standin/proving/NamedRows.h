// Helpers for tables of verbs, checks, faults and kinds: arrays whose rows have a
// `name` by which scenarios and journals refer to them.
#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <string_view>

namespace plantainhold::standin {

// Returns the names in the order of the rows. Thread-safe.
template <typename Row, std::size_t n>
constexpr std::array<std::string_view, n> namesOf(const std::array<Row, n>& rows)
{
    std::array<std::string_view, n> names;
    std::transform(rows.begin(), rows.end(), names.begin(), [](const Row& it) { return it.name; });
    return names;
}

// Returns the row of that name, or null if there is none. Thread-safe.
template <typename Row, std::size_t n>
constexpr const Row* findRow(const std::array<Row, n>& rows, std::string_view name)
{
    auto it = std::find_if(rows.begin(), rows.end(), [&](const Row& row) { return row.name == name; });
    return it == rows.end() ? nullptr : &*it;
}

} // namespace plantainhold::standin
