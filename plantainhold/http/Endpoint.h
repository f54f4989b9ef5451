// Parses addresses of the form IP:port. Host names are not resolved.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <optional>
#include <string_view>

namespace plantainhold {

// Returns std::nullopt unless the address is a numeric IP address, without a scope, and a port from 1
// to 65535. Thread-safe.
std::optional<boost::asio::ip::tcp::endpoint> tryParseEndpoint(std::string_view address);
// Throws ResultError (BadAddress) where tryParseEndpoint returns std::nullopt. Thread-safe.
boost::asio::ip::tcp::endpoint parseEndpoint(std::string_view address);

} // namespace plantainhold
