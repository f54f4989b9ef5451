// One acceptor; the connection limit is checked before anything is read.

#include "plantainhold/adapters/HttpFrontEnd.h"

#include "plantainhold/adapters/HttpCallerConnection.h"
#include "plantainhold/base/LogEvent.h"
#include "plantainhold/base/ResultError.h"
#include "plantainhold/config/Settings.h"
#include "plantainhold/util/NumericAddress.h"

namespace plantainhold {

namespace {

    constexpr int s_maxConcurrentRefusals = 64;
    constexpr int s_backlog = 1024;
    constexpr Milliseconds s_acceptRetryDelay { 10 };

} // namespace

HttpFrontEnd::HttpFrontEnd(HttpSharedState& shared, std::span<const std::unique_ptr<HttpThread>> threads)
    : m_shared(shared)
    , m_threads(threads)
    , m_acceptor(threads.front()->io)
    , m_activeRefusals(std::make_shared<std::atomic<int>>(0))
{
    const std::string& address = shared.context.settings.callerAddress;
    try {
        Tcp::endpoint endpoint = endpointOf(address);
        m_acceptor.open(endpoint.protocol());
        m_acceptor.set_option(asio::socket_base::reuse_address(true));
        m_acceptor.bind(endpoint);
        m_acceptor.listen(s_backlog);
    } catch (const boost::system::system_error& error) {
        throw ResultError(ResultCode::CannotListen, address + ": " + error.what());
    }
}

void HttpFrontEnd::start()
{
    asio::co_spawn(m_threads.front()->io, acceptLoop(), asio::detached);
}

HttpThread& HttpFrontEnd::nextThread()
{
    return *m_threads[m_next++ % m_threads.size()];
}

asio::awaitable<void> HttpFrontEnd::acceptLoop()
{
    while (!m_isClosing) {
        HttpThread& thread = nextThread();
        auto [ec, socket] = co_await m_acceptor.async_accept(thread.io, s_asTuple);
        if (!ec) {
            serve(thread, std::move(socket));
            continue;
        }
        // Out of descriptors, for example: accepting again at once would spin.
        asio::steady_timer pause(m_threads.front()->io, s_acceptRetryDelay);
        co_await pause.async_wait(s_asTuple);
    }
}

void HttpFrontEnd::serve(HttpThread& thread, Tcp::socket socket)
{
    if (m_shared.callerConnections < m_shared.context.settings.connectionLimit) {
        auto connection = std::make_shared<HttpCallerConnection>(thread, std::move(socket));
        asio::co_spawn(thread.io, HttpCallerConnection::serve(std::move(connection)), asio::detached);
        return;
    }
    LogEvent(EventId::CallerConnectionRefused).field("connections", m_shared.callerConnections.load());
    if (*m_activeRefusals >= s_maxConcurrentRefusals)
        return;
    ++*m_activeRefusals;
    asio::co_spawn(thread.io, HttpCallerConnection::refuse(std::move(socket)), [refusing = m_activeRefusals](std::exception_ptr) { --*refusing; });
}

void HttpFrontEnd::closeListener()
{
    asio::post(m_threads.front()->io, [this] { drainBacklog(); });
}

void HttpFrontEnd::drainBacklog()
{
    // A connection that waits in the backlog would be reset by closing the listener.
    m_isClosing = true;
    ErrorCode ec;
    m_acceptor.cancel(ec);
    m_acceptor.non_blocking(true, ec);
    while (true) {
        HttpThread& thread = nextThread();
        Tcp::socket socket(thread.io);
        m_acceptor.accept(socket, ec);
        if (ec)
            break;
        serve(thread, std::move(socket));
    }
    m_acceptor.close(ec);
}

} // namespace plantainhold
