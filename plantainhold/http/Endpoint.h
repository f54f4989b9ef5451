// Reads IP:port; names are not resolved.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <string_view>

namespace plantainhold {

// Throws ResultError (BadAddress) for anything but an IP number and a port other than 0. Thread-safe.
boost::asio::ip::tcp::endpoint parseEndpoint(std::string_view address);

} // namespace plantainhold
