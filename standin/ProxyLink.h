// ProxyLink is one address at which the fault proxy listens, the target behind it, and the
// connections between the two with the faults that act on them.
// Not thread-safe: it belongs to the proxy's thread, which runs its coroutines.
#pragma once

#include "standin/FaultProxy.h"

#include <boost/asio.hpp>
#include <chrono>
#include <cstdint>
#include <memory>
#include <set>
#include <string>

namespace plantainhold::standin {

struct ProxyConnection;

class ProxyLink {
public:
    enum class Mode : std::uint8_t {
        Pass,
        // Connections are reset as soon as they are accepted.
        Cut,
        // Connections are accepted, but nothing is carried.
        Silent,
        DropForward,
        LoseReplies,
    };

    ProxyLink(boost::asio::io_context& io, std::string name, boost::asio::ip::tcp::endpoint target);

    // Listens at a free port of the address, and returns both as IP:port. Precondition: called
    // once. Throws boost::system::system_error if it cannot listen.
    std::string listen(const boost::asio::ip::address& ip);
    // Stops listening and resets all connections.
    void close();
    // Precondition: the io_context no longer runs.
    void forgetConnections() { m_connections.clear(); }

    const std::string& name() const { return m_counters.name; }
    const FaultProxy::LinkCounters& counters() const { return m_counters; }

    // Acts on what is accepted or read from now on.
    void setMode(Mode mode) { m_mode = mode; }
    void setDelay(std::chrono::milliseconds delay) { m_delay = delay; }
    void silenceConnections();
    void resetConnections();
    // Resets the connections that have lost bytes and are not silenced.
    void resetBrokenConnections();

private:
    using ConnectionPtr = std::shared_ptr<ProxyConnection>;
    enum class Direction : std::uint8_t {
        Forward,
        Back,
    };

    boost::asio::awaitable<void> acceptLoop();
    // Each coroutine keeps the connection alive; the last one to end forgets it.
    boost::asio::awaitable<void> serve(ConnectionPtr connection);
    boost::asio::awaitable<void> readInto(ConnectionPtr connection, Direction direction);
    static boost::asio::awaitable<void> writeFrom(ConnectionPtr connection, Direction direction);
    static boost::asio::awaitable<void> swallowClient(ConnectionPtr connection);
    // Whether bytes of that direction are to be thrown away.
    bool swallows(ProxyConnection& connection, Direction direction) const;

    boost::asio::io_context& m_io;
    boost::asio::ip::tcp::endpoint m_target;
    boost::asio::ip::tcp::acceptor m_acceptor;
    Mode m_mode = Mode::Pass;
    std::chrono::milliseconds m_delay { 0 };
    std::set<ConnectionPtr> m_connections;
    FaultProxy::LinkCounters m_counters;
};

} // namespace plantainhold::standin
