// Validates and converts addresses, which are always numeric IP:port; host names are
// never resolved.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <string>
#include <string_view>

namespace plantainhold {

// Returns whether the text is an IPv4 or bracketed IPv6 address, followed by a colon
// and a port. Thread-safe.
bool isNumericAddress(std::string_view text);

// Precondition: the address is IP:port, as the checks of settings and instance list ensure;
// an IPv6 address has no brackets. Throws a std::exception otherwise. Thread-safe.
boost::asio::ip::tcp::endpoint endpointOf(const std::string& address);

} // namespace plantainhold
