#include "standin/soak/HttpListener.h"

#include "plantainhold/util/Sleep.h"
#include "standin/soak/SoakRandom.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace plantainhold::soak {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

    constexpr std::size_t s_maxBodyBytes = 4 << 20;
    constexpr std::string_view s_expectHeader = "Plantainhold-Expect-Instance";

    std::string percentDecoded(std::string_view value)
    {
        constexpr int s_hexadecimal = 16;
        std::string decoded;
        while (!value.empty()) {
            bool isEncoded = value.front() == '%' && value.size() > 2;
            decoded += isEncoded ? static_cast<char>(std::stoi(std::string(value.substr(1, 2)), nullptr, s_hexadecimal)) : value.front();
            value.remove_prefix(isEncoded ? 3 : 1);
        }
        return decoded;
    }

    ListenerRequest requestOf(http::request<http::string_body>& message)
    {
        ListenerRequest request;
        std::string_view target = message.target();
        std::size_t mark = target.find('?');
        request.path = target.substr(0, mark);
        while (mark != std::string_view::npos) {
            target.remove_prefix(mark + 1);
            mark = target.find('&');
            std::string_view field = target.substr(0, mark);
            std::size_t equals = field.find('=');
            if (equals != std::string_view::npos)
                request.query[std::string(field.substr(0, equals))] = percentDecoded(field.substr(equals + 1));
        }
        request.body = std::move(message.body());
        request.expectedInstance = message[s_expectHeader];
        return request;
    }

    // Reads and drops everything until the peer closes the connection.
    asio::awaitable<void> swallow(beast::tcp_stream& stream)
    {
        char buf[4096];
        boost::system::error_code ec;
        while (!ec)
            co_await stream.async_read_some(asio::buffer(buf), asio::redirect_error(asio::use_awaitable, ec));
    }

} // namespace

HttpListener::HttpListener(asio::any_io_executor executor, const std::string& ip, Handler handler, SoakRandom& random)
    : m_executor(executor)
    , m_acceptor(executor, asio::ip::tcp::endpoint(asio::ip::make_address(ip), 0))
    , m_handler(std::move(handler))
    , m_random(random)
{
    asio::co_spawn(m_executor, accept(), asio::detached);
}

std::string HttpListener::address() const
{
    asio::ip::tcp::endpoint endpoint = m_acceptor.local_endpoint();
    return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

asio::awaitable<void> HttpListener::accept()
{
    for (;;) {
        boost::system::error_code ec;
        asio::ip::tcp::socket socket = co_await m_acceptor.async_accept(asio::redirect_error(asio::use_awaitable, ec));
        if (ec == asio::error::operation_aborted)
            co_return;
        if (!ec)
            asio::co_spawn(m_executor, serve(std::move(socket)), asio::detached);
    }
}

Milliseconds HttpListener::delay(double share)
{
    return Milliseconds(static_cast<std::int64_t>(share * m_random.unit() * static_cast<double>(m_conditions.maxDelay.count())));
}

asio::awaitable<void> HttpListener::serve(asio::ip::tcp::socket socket)
{
    boost::system::error_code ec;
    socket.set_option(asio::ip::tcp::no_delay(true), ec);
    beast::tcp_stream stream(std::move(socket));
    beast::flat_buffer buf;
    TimePoint connectedAt = std::chrono::steady_clock::now();
    double unit = m_random.unit();
    double share = unit * unit * unit;
    for (;;) {
        http::request_parser<http::string_body> parser;
        parser.body_limit(s_maxBodyBytes);
        co_await http::async_read(stream, buf, parser, asio::redirect_error(asio::use_awaitable, ec));
        if (ec)
            co_return;
        if (Milliseconds time = delay(share); time.count())
            co_await sleepFor(m_executor, time);
        ListenerResponse response { 503, "{}" };
        if (!m_random.chance(m_conditions.refusedRequests)) {
            ListenerRequest request = requestOf(parser.get());
            request.connectedAt = connectedAt;
            response = co_await m_handler(std::move(request));
        }
        if (response.isReset) {
            stream.socket().set_option(asio::socket_base::linger(true, 0), ec);
            co_return;
        }
        if (m_random.chance(m_conditions.lostResponses)) {
            co_await swallow(stream);
            co_return;
        }
        if (Milliseconds time = delay(share); time.count())
            co_await sleepFor(m_executor, time);
        http::response<http::string_body> message(static_cast<http::status>(response.status), 11);
        message.keep_alive(true);
        message.body() = std::move(response.body);
        message.prepare_payload();
        co_await http::async_write(stream, message, asio::redirect_error(asio::use_awaitable, ec));
        if (ec)
            co_return;
    }
}

} // namespace plantainhold::soak
