#include "plantainhold/http/HttpServer.h"

#include "plantainhold/base/ResultError.h"
#include "plantainhold/http/Endpoint.h"
#include "plantainhold/util/Spawn.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <optional>

namespace plantainhold {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

    constexpr std::size_t s_maxConnections = 3'000;
    constexpr std::chrono::milliseconds s_writeTimeout { 10'000 };
    constexpr std::chrono::milliseconds s_acceptRetryDelay { 50 };
    constexpr std::string_view s_deadlineHeader = "Plantainhold-Deadline-Ms";

    HttpMethod methodOf(http::verb verb)
    {
        switch (verb) {
        case http::verb::get:
            return HttpMethod::Get;
        case http::verb::post:
            return HttpMethod::Post;
        case http::verb::delete_:
            return HttpMethod::Delete;
        default:
            return HttpMethod::Other;
        }
    }

    HttpRequest requestOf(http::request<http::string_body>& message)
    {
        HttpRequest request;
        request.method = methodOf(message.method());
        request.host = std::string(message[http::field::host]);
        request.path = std::string(message.target());
        request.body = std::move(message.body());
        std::string_view deadline = message[s_deadlineHeader];
        std::from_chars(deadline.data(), deadline.data() + deadline.size(), request.deadlineMs);
        return request;
    }

    unsigned statusFor(const boost::system::error_code& ec)
    {
        if (ec == http::error::body_limit)
            return 413;
        if (ec == http::error::header_limit)
            return 431;
        return 400;
    }

    // Increments a counter for the lifetime of the object.
    class ScopedCount {
    public:
        explicit ScopedCount(std::size_t& n)
            : m_count(n)
        {
            ++m_count;
        }
        ~ScopedCount() { --m_count; }
        ScopedCount(const ScopedCount&) = delete;
        ScopedCount& operator=(const ScopedCount&) = delete;

    private:
        std::size_t& m_count;
    };

} // namespace

HttpServer::HttpServer(asio::any_io_executor executor, std::string_view address, Handler handler, EventSink& events)
    : m_executor(executor)
    , m_acceptor(executor)
    , m_handler(std::move(handler))
    , m_events(events)
{
    asio::ip::tcp::endpoint endpoint = parseEndpoint(address);
    boost::system::error_code ec;
    m_acceptor.open(endpoint.protocol());
    m_acceptor.set_option(asio::socket_base::reuse_address(true));
    m_acceptor.bind(endpoint, ec);
    if (!ec)
        m_acceptor.listen(asio::socket_base::max_listen_connections, ec);
    if (ec)
        throw ResultError(ResultCode::BadAddress, std::string(address) + ": " + ec.message());
    spawnLoop(
        m_executor, [this]() { return accept(); }, m_events, "accept");
}

asio::awaitable<void> HttpServer::accept()
{
    for (;;) {
        boost::system::error_code ec;
        asio::ip::tcp::socket socket = co_await m_acceptor.async_accept(asio::redirect_error(asio::use_awaitable, ec));
        if (ec == asio::error::operation_aborted)
            co_return;
        if (ec || m_openConnections >= s_maxConnections) {
            asio::steady_timer pause(m_executor, s_acceptRetryDelay);
            co_await pause.async_wait(asio::redirect_error(asio::use_awaitable, ec));
            continue;
        }
        spawnLogged(m_executor, serve(std::move(socket)), m_events, "connection");
    }
}

asio::awaitable<void> HttpServer::serve(asio::ip::tcp::socket socket)
{
    ScopedCount connection(m_openConnections);
    boost::system::error_code ec;
    socket.set_option(asio::ip::tcp::no_delay(true), ec);
    beast::tcp_stream stream(std::move(socket));
    beast::flat_buffer buf;
    for (bool keepsAlive = true; keepsAlive;) {
        http::request_parser<http::string_body> parser;
        parser.header_limit(m_limits.maxHeaderBytes);
        parser.body_limit(m_limits.maxBodyBytes);
        if (!buf.size()) {
            // The idle timeout applies until the first byte of a request arrives.
            stream.expires_after(std::chrono::milliseconds(m_limits.idleTimeoutMs));
            std::size_t n = co_await stream.async_read_some(buf.prepare(4096), asio::redirect_error(asio::use_awaitable, ec));
            if (ec)
                co_return;
            buf.commit(n);
        }
        stream.expires_after(std::chrono::milliseconds(m_limits.headerTimeoutMs));
        co_await http::async_read(stream, buf, parser, asio::redirect_error(asio::use_awaitable, ec));
        HttpResponse response;
        bool isMalformed = ec.failed();
        if (isMalformed) {
            if (ec.category() != make_error_code(http::error::body_limit).category() || ec == http::error::end_of_stream || ec == http::error::partial_message)
                co_return;
            response.status = statusFor(ec);
        } else {
            ScopedCount open(m_openRequests);
            response = co_await m_handler(requestOf(parser.get()));
        }
        if (response.abortsConnection)
            co_return;
        keepsAlive = !isMalformed && parser.get().keep_alive() && !m_isDraining;
        http::response<http::string_body> message(static_cast<http::status>(response.status), 11);
        message.set(http::field::content_type, response.contentType);
        if (response.retryAfterSeconds)
            message.set(http::field::retry_after, std::to_string(response.retryAfterSeconds));
        message.keep_alive(keepsAlive);
        message.body() = std::move(response.body);
        message.prepare_payload();
        stream.expires_after(s_writeTimeout);
        ScopedCount open(m_openRequests);
        co_await http::async_write(stream, message, asio::redirect_error(asio::use_awaitable, ec));
        if (ec)
            co_return;
    }
    stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ec);
}

} // namespace plantainhold
