// Accepts callers' connections and gives them to the request threads in turn.
#pragma once

#include "plantainhold/adapters/HttpThread.h"

#include <memory>
#include <span>

namespace plantainhold {

class HttpFrontEnd {
public:
    // Opens the listener. Throws ResultError(CannotListen). The first thread accepts.
    HttpFrontEnd(HttpSharedState& shared, std::span<const std::unique_ptr<HttpThread>> threads);

    // Begins to accept. Called once.
    void start();

    // Takes what the kernel has already accepted, then stops listening. Thread-safe.
    void closeListener();

private:
    asio::awaitable<void> acceptLoop();
    void drainBacklog();
    void serve(HttpThread& thread, Tcp::socket socket);
    HttpThread& nextThread();

    HttpSharedState& m_shared;
    std::span<const std::unique_ptr<HttpThread>> m_threads;
    Tcp::acceptor m_acceptor;
    std::size_t m_next = 0;
    // Connections that are being refused; bounded, as each costs a socket.
    std::shared_ptr<std::atomic<int>> m_activeRefusals;
    bool m_isClosing = false;
};

} // namespace plantainhold
