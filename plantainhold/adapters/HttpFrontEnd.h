// Accepts callers' connections and distributes them round-robin over the request
// threads.
#pragma once

#include "plantainhold/adapters/HttpThread.h"

#include <memory>
#include <span>

namespace plantainhold {

class HttpFrontEnd {
public:
    // Opens the listener, which runs on the first thread. Throws ResultError(CannotListen).
    HttpFrontEnd(HttpSharedState& shared, std::span<const std::unique_ptr<HttpThread>> threads);

    // Starts accepting. Must be called only once.
    void start();

    // Accepts the connections in the kernel's backlog, then closes the listener. Thread-safe.
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
    // Number of connections being refused. It is bounded because each uses a socket.
    std::shared_ptr<std::atomic<int>> m_activeRefusals;
    bool m_isClosing = false;
};

} // namespace plantainhold
