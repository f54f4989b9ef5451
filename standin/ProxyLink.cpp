#include "standin/ProxyLink.h"

#include "standin/ProxyConnection.h"

#include <array>

namespace plantainhold::standin {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using SteadyClock = std::chrono::steady_clock;

namespace {

    constexpr std::size_t s_chunkBytes = 16 << 10;
    constexpr std::size_t s_queueLimitBytes = 1 << 20;
    constexpr std::chrono::milliseconds s_fullQueuePause { 1 };
    constexpr auto s_token = asio::as_tuple(asio::use_awaitable);

} // namespace

ProxyLink::ProxyLink(asio::io_context& io, std::string name, tcp::endpoint target)
    : m_io(io)
    , m_target(std::move(target))
    , m_acceptor(io)
{
    m_counters.name = std::move(name);
}

std::string ProxyLink::listen(const asio::ip::address& ip)
{
    tcp::endpoint endpoint(ip, 0);
    m_acceptor.open(endpoint.protocol());
    m_acceptor.bind(endpoint);
    m_acceptor.listen();
    std::string address = ip.to_string() + ":" + std::to_string(m_acceptor.local_endpoint().port());
    asio::co_spawn(m_io, acceptLoop(), asio::detached);
    return address;
}

void ProxyLink::close()
{
    boost::system::error_code ec;
    m_acceptor.close(ec);
    resetConnections();
}

void ProxyLink::silenceConnections()
{
    for (const ConnectionPtr& it : m_connections)
        it->isSilenced = true;
}

void ProxyLink::resetConnections()
{
    for (const ConnectionPtr& it : std::set<ConnectionPtr>(m_connections))
        it->reset();
}

void ProxyLink::resetBrokenConnections()
{
    for (const ConnectionPtr& it : std::set<ConnectionPtr>(m_connections)) {
        if (it->hasLostBytes && !it->isSilenced)
            it->reset();
    }
}

bool ProxyLink::swallows(ProxyConnection& connection, Direction direction) const
{
    if (connection.isSilenced)
        return true;
    bool isLost = (m_mode == Mode::DropForward && direction == Direction::Forward) || (m_mode == Mode::LoseReplies && direction == Direction::Back);
    connection.hasLostBytes |= isLost;
    return isLost;
}

asio::awaitable<void> ProxyLink::readInto(ConnectionPtr connection, Direction direction)
{
    bool isForward = direction == Direction::Forward;
    ProxyConnection::Pump& pump = isForward ? connection->forward : connection->back;
    tcp::socket& from = isForward ? connection->client : connection->server;
    std::uint64_t& counter = isForward ? m_counters.bytesForward : m_counters.bytesBack;
    std::array<char, s_chunkBytes> buf;
    while (true) {
        auto [ec, n] = co_await from.async_read_some(asio::buffer(buf), s_token);
        if (ec)
            break;
        counter += n;
        if (swallows(*connection, direction))
            continue;
        pump.chunks.push_back({ SteadyClock::now() + m_delay, std::string(buf.data(), n) });
        pump.queuedBytes += n;
        pump.wakeUp.cancel();
        while (pump.queuedBytes > s_queueLimitBytes && connection->client.is_open()) {
            asio::steady_timer pause(co_await asio::this_coro::executor, s_fullQueuePause);
            co_await pause.async_wait(s_token);
        }
    }
    pump.isAtEnd = true;
    pump.wakeUp.cancel();
    // A silenced client that gives up must not keep its connection here.
    if (connection->isSilenced && isForward)
        connection->reset();
}

asio::awaitable<void> ProxyLink::writeFrom(ConnectionPtr connection, Direction direction)
{
    bool isForward = direction == Direction::Forward;
    ProxyConnection::Pump& pump = isForward ? connection->forward : connection->back;
    tcp::socket& to = isForward ? connection->server : connection->client;
    while (true) {
        if (pump.chunks.empty()) {
            if (pump.isAtEnd)
                break;
            pump.wakeUp.expires_at(SteadyClock::time_point::max());
            co_await pump.wakeUp.async_wait(s_token);
            continue;
        }
        SteadyClock::time_point due = pump.chunks.front().due;
        if (due > SteadyClock::now()) {
            asio::steady_timer hold(co_await asio::this_coro::executor, due);
            co_await hold.async_wait(s_token);
        }
        std::string bytes = std::move(pump.chunks.front().bytes);
        pump.chunks.pop_front();
        pump.queuedBytes -= bytes.size();
        if (connection->isSilenced)
            continue;
        auto [ec, n] = co_await asio::async_write(to, asio::buffer(bytes), s_token);
        if (ec) {
            connection->reset();
            co_return;
        }
    }
    boost::system::error_code ec;
    if (!connection->isSilenced)
        to.shutdown(tcp::socket::shutdown_send, ec);
}

asio::awaitable<void> ProxyLink::swallowClient(ConnectionPtr connection)
{
    std::array<char, s_chunkBytes> buf;
    while (true) {
        auto [ec, n] = co_await connection->client.async_read_some(asio::buffer(buf), s_token);
        if (ec)
            co_return;
    }
}

asio::awaitable<void> ProxyLink::serve(ConnectionPtr connection)
{
    if (connection->isSilenced) {
        co_await swallowClient(connection);
        co_return;
    }
    auto [ec] = co_await connection->server.async_connect(m_target, s_token);
    if (ec) {
        connection->reset();
        co_return;
    }
    boost::system::error_code ignored;
    connection->server.set_option(tcp::no_delay(true), ignored);
    connection->client.set_option(tcp::no_delay(true), ignored);
    auto remaining = std::make_shared<int>(4);
    auto finish = [this, connection, remaining](std::exception_ptr) {
        if (--*remaining == 0) {
            connection->reset();
            m_connections.erase(connection);
        }
    };
    m_connections.insert(connection);
    asio::co_spawn(m_io, readInto(connection, Direction::Forward), finish);
    asio::co_spawn(m_io, readInto(connection, Direction::Back), finish);
    asio::co_spawn(m_io, writeFrom(connection, Direction::Forward), finish);
    asio::co_spawn(m_io, writeFrom(connection, Direction::Back), finish);
}

asio::awaitable<void> ProxyLink::acceptLoop()
{
    while (true) {
        auto [ec, socket] = co_await m_acceptor.async_accept(s_token);
        if (ec == asio::error::operation_aborted)
            co_return;
        if (ec)
            continue;
        ++m_counters.connections;
        auto connection = std::make_shared<ProxyConnection>(m_io, std::move(socket));
        if (m_mode == Mode::Cut) {
            connection->reset();
            continue;
        }
        connection->isSilenced = m_mode == Mode::Silent;
        m_connections.insert(connection);
        asio::co_spawn(m_io, serve(connection), [this, connection](std::exception_ptr) {
            if (!connection->server.is_open())
                m_connections.erase(connection);
        });
    }
}

} // namespace plantainhold::standin
