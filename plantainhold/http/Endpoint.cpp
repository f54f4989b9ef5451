#include "plantainhold/http/Endpoint.h"

#include "plantainhold/base/ResultError.h"

#include <charconv>
#include <string>

namespace plantainhold {

boost::asio::ip::tcp::endpoint parseEndpoint(std::string_view address)
{
    std::size_t colon = address.rfind(':');
    if (colon == std::string_view::npos)
        throw ResultError(ResultCode::BadAddress, std::string(address));
    std::string_view digits = address.substr(colon + 1);
    std::uint16_t port = 0;
    auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    bool isPort = error == std::errc() && end == digits.data() + digits.size() && port;
    boost::system::error_code ec;
    boost::asio::ip::address ip = boost::asio::ip::make_address(std::string(address.substr(0, colon)), ec);
    if (ec || !isPort)
        throw ResultError(ResultCode::BadAddress, std::string(address));
    return { ip, port };
}

} // namespace plantainhold
