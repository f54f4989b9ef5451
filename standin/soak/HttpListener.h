// HttpListener serves HTTP/1.1 for a stand-in. It keeps what HttpServer drops, the header
// with the expected executor, and delays requests and responses by connection, so that
// those on different connections overtake each other.
#pragma once

#include "plantainhold/ports/Clock.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <map>
#include <string>

namespace plantainhold::soak {

class SoakRandom;

struct ListenerRequest {
    std::string path;
    std::map<std::string, std::string> query;
    std::string body;
    // The header Plantainhold-Expect-Instance; empty if it was not sent.
    std::string expectedInstance;
    // When the connection was accepted on which the request arrived.
    TimePoint connectedAt;
};

struct ListenerResponse {
    unsigned status = 200;
    std::string body;
    // Closes the connection without a response.
    bool isReset = false;
};

// Faults of the network between the callers and one listener; may change at any time.
struct LinkConditions {
    // Longest delay before a request is executed, and again before its response is sent.
    // Each connection has a share of it, most of them a small one.
    Milliseconds maxDelay { 2 };
    // Share of responses that are lost; their connections return nothing further.
    double lostResponses = 0;
    // Share of requests that are answered with status 503 without being executed.
    double refusedRequests = 0;
};

class HttpListener {
public:
    using Handler = std::function<boost::asio::awaitable<ListenerResponse>(ListenerRequest)>;

    // Listens on a free port of this IP address. The random source must outlive the
    // listener, which must outlive the executor's work. Throws boost::system::system_error
    // if it cannot listen. The class is not thread-safe.
    HttpListener(boost::asio::any_io_executor executor, const std::string& ip, Handler handler, SoakRandom& random);

    // IP:port.
    std::string address() const;
    LinkConditions& conditions() { return m_conditions; }

private:
    boost::asio::awaitable<void> accept();
    boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket socket);
    // A random delay for a connection with this share of the longest one.
    Milliseconds delay(double share);

    boost::asio::any_io_executor m_executor;
    boost::asio::ip::tcp::acceptor m_acceptor;
    Handler m_handler;
    SoakRandom& m_random;
    LinkConditions m_conditions;
};

} // namespace plantainhold::soak
