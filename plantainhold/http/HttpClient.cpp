#include "plantainhold/http/HttpClient.h"

#include "plantainhold/http/Endpoint.h"
#include "plantainhold/util/BootClock.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <netinet/tcp.h>

namespace plantainhold {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

    constexpr std::size_t s_maxResponseBytes = 16 << 20;
    constexpr std::size_t s_maxIdleConnections = 32;
    // A connection that was idle for longer is not reused.
    constexpr Milliseconds s_maxIdleTime { 8'000 };
    constexpr int s_keepAliveSeconds = 1;
    constexpr int s_keepAliveProbes = 2;

    http::verb verbOf(HttpMethod method)
    {
        constexpr http::verb s_verbs[] = { http::verb::get, http::verb::post, http::verb::delete_, http::verb::unknown };
        return s_verbs[static_cast<std::size_t>(method)];
    }

    // Enables TCP keep-alive probes, so that an unresponsive connection fails soon.
    void configureSocket(asio::ip::tcp::socket& socket)
    {
        using IdleTime = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
        using Interval = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
        using Count = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>;
        boost::system::error_code ignored;
        socket.set_option(asio::ip::tcp::no_delay(true), ignored);
        socket.set_option(asio::socket_base::keep_alive(true), ignored);
        socket.set_option(IdleTime(s_keepAliveSeconds), ignored);
        socket.set_option(Interval(s_keepAliveSeconds), ignored);
        socket.set_option(Count(s_keepAliveProbes), ignored);
    }

} // namespace

struct HttpClient::Connection {
    explicit Connection(asio::any_io_executor executor)
        : stream(std::move(executor))
    {
    }

    beast::tcp_stream stream;
    beast::flat_buffer buf;
    TimePoint lastUsed {};
};

HttpClient::HttpClient(asio::any_io_executor executor, std::string_view address)
    : m_executor(std::move(executor))
    , m_address(address)
{
    parseEndpoint(address);
}

HttpClient::~HttpClient() = default;

std::unique_ptr<HttpClient::Connection> HttpClient::takeIdle()
{
    TimePoint now = std::chrono::steady_clock::now();
    closeIdleOlderThan(now - s_maxIdleTime);
    if (m_idle.empty())
        return nullptr;
    std::unique_ptr<Connection> connection = std::move(m_idle.back());
    m_idle.pop_back();
    return connection;
}

void HttpClient::closeIdleOlderThan(TimePoint when)
{
    std::erase_if(m_idle, [when](const auto& it) { return it->lastUsed < when; });
}

void HttpClient::returnToPool(std::unique_ptr<Connection> connection)
{
    if (m_idle.size() >= s_maxIdleConnections)
        return;
    connection->lastUsed = std::chrono::steady_clock::now();
    m_idle.push_back(std::move(connection));
}

asio::awaitable<HttpClientResponse> HttpClient::call(HttpClientRequest request, Milliseconds timeout)
{
    TimePoint startedAt = std::chrono::steady_clock::now();
    boost::system::error_code ec;
    std::unique_ptr<Connection> connection = takeIdle();
    if (!connection) {
        connection = std::make_unique<Connection>(m_executor);
        connection->stream.expires_after(timeout);
        co_await connection->stream.async_connect(parseEndpoint(m_address), asio::redirect_error(asio::use_awaitable, ec));
        if (ec)
            co_return HttpClientResponse { HttpFailure::NotSent, 0, ec.message() };
        ++m_connectionsOpened;
        configureSocket(connection->stream.socket());
    }
    http::request<http::string_body> message(verbOf(request.method), request.target, 11);
    message.set(http::field::host, m_address);
    if (!request.body.empty() || request.method == HttpMethod::Post)
        message.set(http::field::content_type, request.contentType);
    for (const HttpHeader& it : request.headers)
        message.set(it.name, it.value);
    message.body() = std::move(request.body);
    message.prepare_payload();

    if (BootClock::now() >= request.sendBy)
        co_return HttpClientResponse { HttpFailure::NotSent, 0, "too late to be sent" };
    connection->stream.expires_at(startedAt + timeout);
    http::response_parser<http::string_body> parser;
    parser.body_limit(s_maxResponseBytes);
    co_await http::async_write(connection->stream, message, asio::redirect_error(asio::use_awaitable, ec));
    if (!ec)
        co_await http::async_read(connection->stream, connection->buf, parser, asio::redirect_error(asio::use_awaitable, ec));
    if (ec) {
        closeIdleOlderThan(startedAt);
        co_return HttpClientResponse { HttpFailure::NoResponse, 0, ec.message() };
    }
    HttpClientResponse response { HttpFailure::None, parser.get().result_int(), std::move(parser.get().body()) };
    connection->stream.expires_never();
    if (parser.get().keep_alive())
        returnToPool(std::move(connection));
    co_return response;
}

} // namespace plantainhold
