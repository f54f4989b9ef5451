// HttpServer serves HTTP/1.1 on one address. Each response is sent completely or not at
// all: a planned shutdown lets open requests finish and then closes their connections.
#pragma once

#include "plantainhold/http/HttpMessages.h"
#include "plantainhold/jobs/Queue.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <string_view>

namespace plantainhold {

class EventSink;

class HttpServer {
public:
    using Handler = std::function<boost::asio::awaitable<HttpResponse>(HttpRequest)>;

    // Throws ResultError (BadAddress) if the server cannot listen on the address. An
    // exception of the handler closes the connection and is logged. The sink must outlive the server. The class is not thread-safe.
    HttpServer(boost::asio::any_io_executor executor, std::string_view address, Handler handler, EventSink& events);

    void setLimits(const HttpLimits& limits) { m_limits = limits; }
    // Closes each connection after its next response from now on.
    void drain() { m_isDraining = true; }
    // Number of requests that were read and whose response is not completely sent.
    std::size_t openRequests() const { return m_openRequests; }

private:
    boost::asio::awaitable<void> accept();
    boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket socket);

    boost::asio::any_io_executor m_executor;
    boost::asio::ip::tcp::acceptor m_acceptor;
    Handler m_handler;
    EventSink& m_events;
    HttpLimits m_limits;
    bool m_isDraining = false;
    std::size_t m_openRequests = 0;
    std::size_t m_openConnections = 0;
};

} // namespace plantainhold
