// Addresses are IP numbers and ports; names are never resolved.
#pragma once

#include <string_view>

namespace plantainhold {

// Whether the text is an IPv4 or bracketed IPv6 number and a port. Thread-safe.
bool isNumericAddress(std::string_view text);

} // namespace plantainhold
