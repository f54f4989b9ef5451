// Serves HTTP/1.1 on one address. Every request is answered whole or not at all:
// a planned stop lets open requests finish and then closes their connections.
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

class HttpServer {
public:
    using Handler = std::function<boost::asio::awaitable<HttpResponse>(HttpRequest)>;

    // Throws ResultError when the address cannot be listened on. Not thread-safe, as the whole class.
    HttpServer(boost::asio::any_io_executor executor, std::string_view address, Handler handler);

    void setLimits(const HttpLimits& limits) { m_limits = limits; }
    // From now on each response closes its connection.
    void drain() { m_isDraining = true; }
    // Requests that were read and are not yet answered.
    std::size_t openRequests() const { return m_openRequests; }

private:
    boost::asio::awaitable<void> accept();
    boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket socket);

    boost::asio::any_io_executor m_executor;
    boost::asio::ip::tcp::acceptor m_acceptor;
    Handler m_handler;
    HttpLimits m_limits;
    bool m_isDraining = false;
    std::size_t m_openRequests = 0;
    std::size_t m_connections = 0;
};

} // namespace plantainhold
