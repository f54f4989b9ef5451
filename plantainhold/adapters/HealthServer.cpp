// A small HTTP server on one thread; probes come a few times a second at most.

#include "plantainhold/adapters/HealthServer.h"

#include "plantainhold/base/ResultError.h"
#include "plantainhold/util/NumericAddress.h"

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <prometheus/collectable.h>
#include <prometheus/text_serializer.h>
#include <thread>

namespace plantainhold {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using tcp = asio::ip::tcp;

namespace {

    constexpr std::chrono::seconds s_probeTimeout { 5 };

} // namespace

struct HealthServer::Impl {
    asio::io_context io { 1 };
    tcp::acceptor acceptor { io };
    std::vector<std::shared_ptr<prometheus::Collectable>> metrics;
    std::function<bool()> isReady;
    std::thread thread;

    asio::awaitable<void> acceptLoop()
    {
        while (true) {
            auto [ec, socket] = co_await acceptor.async_accept(asio::as_tuple(asio::use_awaitable));
            if (!ec)
                asio::co_spawn(io, serve(beast::tcp_stream(std::move(socket))), asio::detached);
        }
    }

    asio::awaitable<void> serve(beast::tcp_stream stream)
    {
        beast::flat_buffer buf;
        http::request<http::empty_body> request;
        stream.expires_after(s_probeTimeout);
        auto [ec, n] = co_await http::async_read(stream, buf, request, asio::as_tuple(asio::use_awaitable));
        if (ec)
            co_return;
        http::response<http::string_body> response = answer(request);
        co_await http::async_write(stream, response, asio::as_tuple(asio::use_awaitable));
    }

    std::string metricsText() const
    {
        std::vector<prometheus::MetricFamily> families;
        for (const auto& it : metrics) {
            std::vector<prometheus::MetricFamily> more = it->Collect();
            families.insert(families.end(), std::make_move_iterator(more.begin()), std::make_move_iterator(more.end()));
        }
        return prometheus::TextSerializer().Serialize(families);
    }

    http::response<http::string_body> answer(const http::request<http::empty_body>& request)
    {
        http::response<http::string_body> response(http::status::ok, request.version());
        response.keep_alive(false);
        if (request.target() == "/metrics") {
            response.body() = metricsText();
        } else if (request.target() == "/readyz") {
            bool ready = isReady();
            response.result(ready ? http::status::ok : http::status::service_unavailable);
            response.body() = ready ? "ready\n" : "not ready\n";
        } else if (request.target() == "/healthz") {
            response.body() = "alive\n";
        } else {
            response.result(http::status::not_found);
        }
        response.prepare_payload();
        return response;
    }
};

HealthServer::HealthServer(const std::string& address, std::vector<std::shared_ptr<prometheus::Collectable>> metrics, std::function<bool()> isReady)
    : m_impl(std::make_unique<Impl>())
{
    m_impl->metrics = std::move(metrics);
    m_impl->isReady = std::move(isReady);
    tcp::endpoint endpoint = endpointOf(address);
    try {
        m_impl->acceptor.open(endpoint.protocol());
        m_impl->acceptor.set_option(asio::socket_base::reuse_address(true));
        m_impl->acceptor.bind(endpoint);
        m_impl->acceptor.listen();
    } catch (const boost::system::system_error& error) {
        throw ResultError(ResultCode::CannotListen, address + ": " + error.what());
    }
    asio::co_spawn(m_impl->io, m_impl->acceptLoop(), asio::detached);
    m_impl->thread = std::thread([impl = m_impl.get()] { impl->io.run(); });
}

HealthServer::~HealthServer()
{
    m_impl->io.stop();
    m_impl->thread.join();
}

} // namespace plantainhold
