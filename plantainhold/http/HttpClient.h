// HttpClient sends requests to one address over a pool of persistent connections. If a
// request fails, its connection is closed, and so are the idle connections that were
// last used before that request: they may be affected by the same fault.
#pragma once

#include "plantainhold/http/HttpMessages.h"
#include "plantainhold/ports/Clock.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace plantainhold {

class HttpClient {
public:
    // Throws ResultError unless the address is IP:port. The class is not thread-safe.
    HttpClient(boost::asio::any_io_executor executor, std::string_view address);
    ~HttpClient();
    HttpClient(const HttpClient&) = delete;
    HttpClient& operator=(const HttpClient&) = delete;

    // Never throws for a failure of the network; HttpClientResponse::failure is set then.
    // The client must outlive the call.
    boost::asio::awaitable<HttpClientResponse> call(HttpClientRequest call, Milliseconds timeout);

    const std::string& address() const { return m_address; }
    std::uint64_t connectionsOpened() const { return m_connectionsOpened; }

private:
    struct Connection;

    std::unique_ptr<Connection> takeIdle();
    void returnToPool(std::unique_ptr<Connection> connection);
    void closeIdleOlderThan(TimePoint when);

    boost::asio::any_io_executor m_executor;
    std::string m_address;
    std::vector<std::unique_ptr<Connection>> m_idle;
    std::uint64_t m_connectionsOpened = 0;
};

} // namespace plantainhold
