// Ids that are unique across instances and restarts.
#pragma once

#include <string>
#include <string_view>

namespace plantainhold {

// 128 random bits in hexadecimal after the prefix and a dash. Thread-safe.
std::string makeUniqueId(std::string_view prefix);

} // namespace plantainhold
