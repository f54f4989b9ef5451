#include "plantainhold/http/HttpServer.h"

#include "plantainhold/base/ResultError.h"
#include "plantainhold/http/Endpoint.h"
#include "plantainhold/util/Spawn.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

namespace plantainhold {

namespace asio = boost::asio;

namespace {

    constexpr std::chrono::milliseconds s_acceptRetryDelay { 50 };

} // namespace

HttpServer::HttpServer(asio::any_io_executor executor, std::string_view address, Handler handler, EventSink& events, ConnectionBudget& budget, ListenerKind kind)
    : m_executor(executor)
    , m_acceptor(executor)
    , m_events(events)
    , m_budget(budget)
    , m_kind(kind)
{
    m_state.handler = std::move(handler);
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
        if (ec) {
            m_budget.freeDescriptor();
            co_await sleepFor(m_executor, s_acceptRetryDelay);
            continue;
        }
        spawnLogged(m_executor, serve(std::move(socket)), m_events, "connection");
    }
}

asio::awaitable<void> HttpServer::serve(asio::ip::tcp::socket socket)
{
    HttpConnection connection(std::move(socket), m_state, m_budget, m_kind);
    co_await connection.serve();
}

} // namespace plantainhold
