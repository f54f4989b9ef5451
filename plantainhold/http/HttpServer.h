// HttpServer serves HTTP/1.1 on one address. Each response is sent completely or not at
// all: a planned shutdown lets open requests finish and then closes their connections.
#pragma once

#include "plantainhold/http/HttpConnection.h"
#include "plantainhold/http/HttpMessages.h"
#include "plantainhold/jobs/Queue.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <functional>
#include <string_view>

namespace plantainhold {

class EventSink;

class HttpServer {
public:
    using Handler = std::function<boost::asio::awaitable<HttpResponse>(HttpRequest)>;

    // Throws ResultError (BadAddress) if the server cannot listen on the address. An
    // exception of the handler closes the connection and is logged. The sink and the budget must outlive the server,
    // and the server the executor's work. The class is not thread-safe.
    HttpServer(boost::asio::any_io_executor executor, std::string_view address, Handler handler, EventSink& events, ConnectionBudget& budget, ListenerKind kind);

    void setLimits(const HttpLimits& limits) { m_state.limits = limits; }
    // Closes each connection after its next response from now on.
    void drain() { m_state.isDraining = true; }
    // Number of requests that were read and whose response is not completely sent.
    std::size_t openRequests() const { return m_state.openRequests; }

private:
    boost::asio::awaitable<void> accept();
    boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket socket);

    boost::asio::any_io_executor m_executor;
    boost::asio::ip::tcp::acceptor m_acceptor;
    EventSink& m_events;
    ConnectionBudget& m_budget;
    const ListenerKind m_kind;
    HttpListenerState m_state;
};

} // namespace plantainhold
