// Parses addresses of the form IP:port. Host names are not resolved.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <string_view>

namespace plantainhold {

// Throws ResultError (BadAddress) unless the address is an IP address and a port other than 0. Thread-safe.
boost::asio::ip::tcp::endpoint parseEndpoint(std::string_view address);

} // namespace plantainhold
