// ProxyConnection is one connection through the fault proxy: its two sockets and, for each
// direction, a queue of chunks with the time at which they are due, which is how delay works.
// Not thread-safe: it belongs to the proxy's thread.
#pragma once

#include <boost/asio.hpp>
#include <chrono>
#include <deque>
#include <string>

namespace plantainhold::standin {

struct ProxyConnection {
    struct Chunk {
        std::chrono::steady_clock::time_point due;
        std::string bytes;
    };

    // One direction of the connection.
    struct Pump {
        explicit Pump(boost::asio::io_context& io)
            : wakeUp(io)
        {
        }

        std::deque<Chunk> chunks;
        std::size_t queuedBytes = 0;
        boost::asio::steady_timer wakeUp;
        bool isAtEnd = false;
    };

    ProxyConnection(boost::asio::io_context& io, boost::asio::ip::tcp::socket accepted)
        : client(std::move(accepted))
        , server(io)
        , forward(io)
        , back(io)
    {
    }

    // A reset rather than an orderly close: the peer sees a failure.
    void reset();

    boost::asio::ip::tcp::socket client;
    boost::asio::ip::tcp::socket server;
    Pump forward;
    Pump back;
    bool isSilenced = false;
    // Bytes were lost, so what would follow makes no sense to the peer.
    bool hasLostBytes = false;
};

} // namespace plantainhold::standin
