// Generates ids that are unique across instances and restarts.
#pragma once

#include <string>
#include <string_view>

namespace plantainhold {

// Returns the prefix, a dash and 128 random bits in hexadecimal. Thread-safe.
std::string makeUniqueId(std::string_view prefix);

} // namespace plantainhold
