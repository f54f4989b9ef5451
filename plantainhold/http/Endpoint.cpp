#include "plantainhold/http/Endpoint.h"

#include "plantainhold/base/ResultError.h"

#include <charconv>
#include <string>

namespace plantainhold {

namespace {
    // Excludes scopes and line breaks: the address is also sent as the Host header.
    constexpr std::string_view s_addressCharacters = "0123456789abcdefABCDEF.:";
} // namespace

std::optional<boost::asio::ip::tcp::endpoint> tryParseEndpoint(std::string_view address)
{
    std::size_t colon = address.rfind(':');
    if (colon == std::string_view::npos || address.find_first_not_of(s_addressCharacters) != std::string_view::npos)
        return std::nullopt;
    std::string_view digits = address.substr(colon + 1);
    std::uint16_t port = 0;
    auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    bool isPort = error == std::errc() && end == digits.data() + digits.size() && port;
    boost::system::error_code ec;
    boost::asio::ip::address ip = boost::asio::ip::make_address(std::string(address.substr(0, colon)), ec);
    if (ec || !isPort)
        return std::nullopt;
    return boost::asio::ip::tcp::endpoint { ip, port };
}

boost::asio::ip::tcp::endpoint parseEndpoint(std::string_view address)
{
    std::optional<boost::asio::ip::tcp::endpoint> endpoint = tryParseEndpoint(address);
    if (!endpoint)
        throw ResultError(ResultCode::BadAddress, std::string(address));
    return *endpoint;
}

} // namespace plantainhold
