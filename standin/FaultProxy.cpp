// All links, connections and faults belong to one thread, so that a fault acts
// on a consistent set of connections. Each direction of a connection is a queue
// of chunks with the time at which they are due, which is how delay works.

#include "standin/FaultProxy.h"

#include "plantainhold/util/NumericAddress.h"

#include <boost/asio.hpp>
#include <deque>
#include <functional>
#include <future>
#include <set>
#include <thread>

namespace plantainhold::standin {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using SteadyClock = std::chrono::steady_clock;

namespace {

    constexpr std::size_t s_chunkBytes = 16 << 10;
    constexpr std::size_t s_queueLimitBytes = 1 << 20;
    constexpr std::chrono::milliseconds s_fullQueuePause { 1 };
    constexpr auto s_token = asio::as_tuple(asio::use_awaitable);

    enum class LinkMode {
        Pass,
        Cut,
        Silent,
        DropForward,
        LoseReplies,
    };

    struct Chunk {
        SteadyClock::time_point due;
        std::string bytes;
    };

    // One direction of a connection.
    struct Pump {
        explicit Pump(asio::io_context& io)
            : wakeUp(io)
        {
        }
        std::deque<Chunk> chunks;
        std::size_t queuedBytes = 0;
        asio::steady_timer wakeUp;
        bool isAtEnd = false;
    };

    struct Connection {
        Connection(asio::io_context& io, tcp::socket accepted)
            : client(std::move(accepted))
            , server(io)
            , forward(io)
            , back(io)
        {
        }

        // A reset rather than an orderly close: the peer sees a failure.
        void reset()
        {
            for (tcp::socket* it : { &client, &server }) {
                boost::system::error_code ec;
                it->set_option(asio::socket_base::linger(true, 0), ec);
                it->close(ec);
            }
            forward.wakeUp.cancel();
            back.wakeUp.cancel();
        }

        tcp::socket client;
        tcp::socket server;
        Pump forward;
        Pump back;
        bool isSilenced = false;
        // Bytes were lost, so what would follow makes no sense to the peer.
        bool hasLostBytes = false;
    };

    using ConnectionPtr = std::shared_ptr<Connection>;

    struct Link {
        Link(asio::io_context& io, std::string givenName, tcp::endpoint givenTarget)
            : name(std::move(givenName))
            , target(std::move(givenTarget))
            , acceptor(io)
        {
        }

        std::string name;
        tcp::endpoint target;
        tcp::acceptor acceptor;
        LinkMode mode = LinkMode::Pass;
        std::chrono::milliseconds delay { 0 };
        std::set<ConnectionPtr> connections;
        FaultProxy::LinkCounters counters;
    };

    enum class Direction {
        Forward,
        Back,
    };

    bool swallows(const Link& link, Connection& connection, Direction direction)
    {
        if (connection.isSilenced)
            return true;
        bool isLost = (link.mode == LinkMode::DropForward && direction == Direction::Forward) || (link.mode == LinkMode::LoseReplies && direction == Direction::Back);
        connection.hasLostBytes |= isLost;
        return isLost;
    }

    asio::awaitable<void> readInto(Link& link, ConnectionPtr connection, Direction direction)
    {
        bool isForward = direction == Direction::Forward;
        Pump& pump = isForward ? connection->forward : connection->back;
        tcp::socket& from = isForward ? connection->client : connection->server;
        std::uint64_t& counter = isForward ? link.counters.bytesForward : link.counters.bytesBack;
        std::array<char, s_chunkBytes> buf;
        while (true) {
            auto [ec, n] = co_await from.async_read_some(asio::buffer(buf), s_token);
            if (ec)
                break;
            counter += n;
            if (swallows(link, *connection, direction))
                continue;
            pump.chunks.push_back({ SteadyClock::now() + link.delay, std::string(buf.data(), n) });
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

    asio::awaitable<void> writeFrom(ConnectionPtr connection, Direction direction)
    {
        bool isForward = direction == Direction::Forward;
        Pump& pump = isForward ? connection->forward : connection->back;
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

    asio::awaitable<void> swallowClient(ConnectionPtr connection)
    {
        std::array<char, s_chunkBytes> buf;
        while (true) {
            auto [ec, n] = co_await connection->client.async_read_some(asio::buffer(buf), s_token);
            if (ec)
                co_return;
        }
    }

    // Each coroutine keeps the connection alive; the last one to end forgets it.
    asio::awaitable<void> serve(asio::io_context& io, Link& link, ConnectionPtr connection)
    {
        if (connection->isSilenced) {
            co_await swallowClient(connection);
            co_return;
        }
        auto [ec] = co_await connection->server.async_connect(link.target, s_token);
        if (ec) {
            connection->reset();
            co_return;
        }
        boost::system::error_code ignored;
        connection->server.set_option(tcp::no_delay(true), ignored);
        connection->client.set_option(tcp::no_delay(true), ignored);
        auto remaining = std::make_shared<int>(4);
        auto finish = [&link, connection, remaining](std::exception_ptr) {
            if (--*remaining == 0) {
                connection->reset();
                link.connections.erase(connection);
            }
        };
        link.connections.insert(connection);
        asio::co_spawn(io, readInto(link, connection, Direction::Forward), finish);
        asio::co_spawn(io, readInto(link, connection, Direction::Back), finish);
        asio::co_spawn(io, writeFrom(connection, Direction::Forward), finish);
        asio::co_spawn(io, writeFrom(connection, Direction::Back), finish);
    }

    asio::awaitable<void> acceptLoop(asio::io_context& io, Link& link)
    {
        while (true) {
            auto [ec, socket] = co_await link.acceptor.async_accept(s_token);
            if (ec == asio::error::operation_aborted)
                co_return;
            if (ec)
                continue;
            ++link.counters.connections;
            auto connection = std::make_shared<Connection>(io, std::move(socket));
            if (link.mode == LinkMode::Cut) {
                connection->reset();
                continue;
            }
            connection->isSilenced = link.mode == LinkMode::Silent;
            link.connections.insert(connection);
            asio::co_spawn(io, serve(io, link, connection), [&link, connection](std::exception_ptr) {
                if (!connection->server.is_open())
                    link.connections.erase(connection);
            });
        }
    }

    void resetAll(Link& link, bool onlyBroken)
    {
        for (const ConnectionPtr& it : std::set<ConnectionPtr>(link.connections)) {
            if (!onlyBroken || (it->hasLostBytes && !it->isSilenced))
                it->reset();
        }
    }

} // namespace

struct FaultProxy::Impl {
    explicit Impl(const std::string& ip)
        : listenAddress(asio::ip::make_address(ip))
        , guard(asio::make_work_guard(io))
        , thread([this] { io.run(); })
    {
    }

    // Runs a function on the proxy's thread and waits for its result.
    template <typename Function>
    auto onThread(Function function)
    {
        using Result = std::invoke_result_t<Function>;
        std::packaged_task<Result()> task(std::move(function));
        auto result = task.get_future();
        asio::post(io, [&task] { task(); });
        return result.get();
    }

    int forEach(std::string_view pattern, const std::function<void(Link&)>& act)
    {
        return onThread([&] {
            int matched = 0;
            for (const auto& it : links) {
                if (!matchesPattern(pattern, it->name))
                    continue;
                ++matched;
                act(*it);
            }
            return matched;
        });
    }

    asio::ip::address listenAddress;
    asio::io_context io { 1 };
    asio::executor_work_guard<asio::io_context::executor_type> guard;
    // After io, because sockets must not outlive it; no coroutine runs any more then.
    std::vector<std::unique_ptr<Link>> links;
    std::thread thread;
};

FaultProxy::FaultProxy(const std::string& listenIp)
    : m_impl(std::make_unique<Impl>(listenIp))
{
}

FaultProxy::~FaultProxy()
{
    m_impl->onThread([this] {
        for (const auto& it : m_impl->links) {
            boost::system::error_code ec;
            it->acceptor.close(ec);
            resetAll(*it, false);
        }
        m_impl->guard.reset();
    });
    m_impl->io.stop();
    m_impl->thread.join();
    for (const auto& it : m_impl->links)
        it->connections.clear();
}

std::string FaultProxy::addLink(const std::string& name, const std::string& target)
{
    return m_impl->onThread([&] {
        auto link = std::make_unique<Link>(m_impl->io, name, endpointOf(target));
        link->counters.name = name;
        tcp::endpoint endpoint(m_impl->listenAddress, 0);
        link->acceptor.open(endpoint.protocol());
        link->acceptor.bind(endpoint);
        link->acceptor.listen();
        std::string address = m_impl->listenAddress.to_string() + ":" + std::to_string(link->acceptor.local_endpoint().port());
        asio::co_spawn(m_impl->io, acceptLoop(m_impl->io, *link), asio::detached);
        m_impl->links.push_back(std::move(link));
        return address;
    });
}

int FaultProxy::cut(std::string_view pattern)
{
    return m_impl->forEach(pattern, [](Link& link) {
        link.mode = LinkMode::Cut;
        resetAll(link, false);
    });
}

int FaultProxy::silence(std::string_view pattern, bool existingOnly)
{
    return m_impl->forEach(pattern, [existingOnly](Link& link) {
        link.mode = existingOnly ? LinkMode::Pass : LinkMode::Silent;
        for (const ConnectionPtr& it : link.connections)
            it->isSilenced = true;
    });
}

int FaultProxy::delay(std::string_view pattern, std::chrono::milliseconds time)
{
    return m_impl->forEach(pattern, [time](Link& link) { link.delay = time; });
}

int FaultProxy::dropForward(std::string_view pattern)
{
    return m_impl->forEach(pattern, [](Link& link) { link.mode = LinkMode::DropForward; });
}

int FaultProxy::loseReplies(std::string_view pattern)
{
    return m_impl->forEach(pattern, [](Link& link) { link.mode = LinkMode::LoseReplies; });
}

int FaultProxy::reset(std::string_view pattern)
{
    return m_impl->forEach(pattern, [](Link& link) { resetAll(link, false); });
}

int FaultProxy::heal(std::string_view pattern)
{
    return m_impl->forEach(pattern, [](Link& link) {
        link.mode = LinkMode::Pass;
        link.delay = std::chrono::milliseconds(0);
        resetAll(link, true);
    });
}

std::vector<FaultProxy::LinkCounters> FaultProxy::counters()
{
    return m_impl->onThread([this] {
        std::vector<LinkCounters> all;
        for (const auto& it : m_impl->links)
            all.push_back(it->counters);
        return all;
    });
}

bool matchesPattern(std::string_view pattern, std::string_view text)
{
    // Linear backtracking to the last star suffices, because a star takes any text.
    std::size_t p = 0, t = 0, star = std::string_view::npos, mark = 0;
    while (t < text.size()) {
        if (p < pattern.size() && pattern[p] == '*') {
            star = p++;
            mark = t;
        } else if (p < pattern.size() && pattern[p] == text[t]) {
            ++p;
            ++t;
        } else if (star != std::string_view::npos) {
            p = star + 1;
            t = ++mark;
        } else {
            return false;
        }
    }
    while (p < pattern.size() && pattern[p] == '*')
        ++p;
    return p == pattern.size();
}

} // namespace plantainhold::standin
