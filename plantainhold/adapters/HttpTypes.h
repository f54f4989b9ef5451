// Short names for the HTTP library's types, used by the Http*.cpp files. Internal to
// the adapters: no header outside this folder includes it.
#pragma once

#include "plantainhold/util/ByteBudget.h"

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
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

// Returns errors as values instead of throwing: [ec, n] = co_await operation(..., s_asTuple).
inline constexpr auto s_asTuple = asio::as_tuple(asio::use_awaitable);

// Reserves bytes of a body in the instance's byte budget until it is destroyed.
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

    // Extends the reservation to `total` bytes; returns false if the budget is exhausted.
    // A smaller total leaves it unchanged.
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

} // namespace plantainhold
