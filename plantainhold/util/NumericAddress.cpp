#include "plantainhold/util/NumericAddress.h"

#include <algorithm>

namespace plantainhold {

namespace {
    constexpr long s_maxPort = 65535;
} // namespace

bool isNumericAddress(std::string_view text)
{
    auto colon = text.rfind(':');
    if (colon == std::string_view::npos || colon + 1 == text.size())
        return false;
    std::string_view port = text.substr(colon + 1);
    bool isPortNumeric = port.size() <= 5 && std::all_of(port.begin(), port.end(), [](char c) { return c >= '0' && c <= '9'; });
    if (!isPortNumeric || std::stol(std::string(port)) > s_maxPort)
        return false;
    std::string host(text.substr(0, colon));
    if (host.size() > 2 && host.front() == '[' && host.back() == ']')
        host = host.substr(1, host.size() - 2);
    boost::system::error_code ec;
    boost::asio::ip::make_address(host, ec);
    return !ec;
}

boost::asio::ip::tcp::endpoint endpointOf(const std::string& address)
{
    auto colon = address.rfind(':');
    return { boost::asio::ip::make_address(address.substr(0, colon)), static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))) };
}

} // namespace plantainhold
