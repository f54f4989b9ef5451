// HttpConnection serves the requests of one connection, one after the other. What it holds at each moment stands in its
// account; if the account has no room, or has to give way, the request is refused with status 503, which says that it
// has not run, or the connection is closed.
#pragma once

#include "plantainhold/http/ConnectionAccount.h"
#include "plantainhold/http/HttpMessages.h"
#include "plantainhold/jobs/Queue.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <chrono>
#include <cstddef>
#include <functional>
#include <optional>

namespace plantainhold {

// What the connections of one listener have in common.
struct HttpListenerState {
    std::function<boost::asio::awaitable<HttpResponse>(HttpRequest)> handler;
    HttpLimits limits;
    bool isDraining = false;
    // Requests that were read and whose response is not completely sent.
    std::size_t openRequests = 0;
};

class HttpConnection {
public:
    // The listener's state and the budget must outlive the connection. The class is not thread-safe.
    HttpConnection(boost::asio::ip::tcp::socket socket, HttpListenerState& listener, ConnectionBudget& budget, ListenerKind kind);

    // Serves until the connection ends. The connection must outlive the call.
    boost::asio::awaitable<void> serve();

private:
    struct Received {
        HttpRequest request;
        bool keepsAlive = false;
    };

    // These return nothing if the connection is to be closed; m_refusal is set if a response says why.
    boost::asio::awaitable<bool> readHead();
    boost::asio::awaitable<std::optional<Received>> readRequest();
    boost::asio::awaitable<std::optional<Received>> readBody(std::size_t headBytes);
    // Returns whether the response was sent.
    boost::asio::awaitable<bool> send(HttpResponse response, bool keepsAlive);
    boost::asio::awaitable<HttpResponse> handle(HttpRequest request);
    void refuse(unsigned status, RefusalReason reason);
    void refuseForMemory();
    void onRequestFailed(const boost::system::error_code& ec);
    void giveWay(RefusalReason reason);
    // Returns the length of the head at the beginning of the buffer, or 0 if it is not complete.
    std::size_t headLength();
    bool hasTooManyFields(std::size_t headBytes) const;
    std::string_view buffered() const;

    HttpListenerState& m_listener;
    boost::beast::tcp_stream m_stream;
    boost::beast::flat_buffer m_buf;
    // Bytes of the buffer in which no head ends.
    std::size_t m_searched = 0;
    bool m_isHeadRead = false;
    std::optional<HttpResponse> m_refusal;
    ConnectionAccount m_account;
};

} // namespace plantainhold
