// Validation of addresses, which are always numeric IP:port; host names are never
// resolved.
#pragma once

#include <string_view>

namespace plantainhold {

// Returns whether the text is an IPv4 or bracketed IPv6 address, followed by a colon
// and a port. Thread-safe.
bool isNumericAddress(std::string_view text);

} // namespace plantainhold
