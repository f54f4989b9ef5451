// The HTTP library's types under short names, for the Http*.cpp files alone.
// Internal to the adapters: no header outside of them includes this.
#pragma once

#include "plantainhold/routing/ByteBudget.h"

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <string>
#include <utility>

namespace plantainhold {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using Tcp = asio::ip::tcp;
using HttpStream = beast::tcp_stream;
using HttpRequest = http::request<http::string_body>;
using HttpResponse = http::response<http::string_body>;
using ErrorCode = boost::system::error_code;

// Completions as values: [ec, n] = co_await operation(..., s_asTuple).
inline constexpr auto s_asTuple = asio::as_tuple(asio::use_awaitable);

// Bytes of a body that count against the instance's budget until this goes away.
class BodyLease {
public:
    explicit BodyLease(ByteBudget& budget)
        : m_budget(&budget)
    {
    }
    ~BodyLease() { m_budget->release(m_bytes); }
    BodyLease(BodyLease&& other) noexcept
        : m_budget(other.m_budget)
        , m_bytes(std::exchange(other.m_bytes, 0))
    {
    }
    BodyLease& operator=(BodyLease&& other) noexcept
    {
        std::swap(m_budget, other.m_budget);
        std::swap(m_bytes, other.m_bytes);
        return *this;
    }

    // Extends the lease to a total; false when the budget does not allow it.
    bool growTo(std::size_t total)
    {
        auto wanted = static_cast<std::int64_t>(total);
        if (wanted <= m_bytes)
            return true;
        if (!m_budget->tryReserve(wanted - m_bytes))
            return false;
        m_bytes = wanted;
        return true;
    }

private:
    ByteBudget* m_budget;
    std::int64_t m_bytes = 0;
};

// Precondition: the address is IP:port, as settings and the instance list check.
// Throws boost::system::system_error otherwise.
inline Tcp::endpoint endpointOf(const std::string& address)
{
    auto colon = address.rfind(':');
    return { asio::ip::make_address(address.substr(0, colon)), static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))) };
}

} // namespace plantainhold
