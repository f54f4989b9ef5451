// One caller's connection: reads requests one after the other within limits of
// size and time, has each run, and writes its answer. A request that comes in
// while the one before it runs stays in the socket, so answers keep their order.
#pragma once

#include "plantainhold/adapters/HttpRequestRun.h"

#include <memory>

namespace plantainhold {

class HttpCallerConnection final : public std::enable_shared_from_this<HttpCallerConnection> {
public:
    HttpCallerConnection(HttpThread& thread, Tcp::socket socket);
    ~HttpCallerConnection();

    // Serves a connection to its end. Runs on the thread's io_context alone. The
    // coroutine owns its connection, as it may start after the caller has returned.
    static asio::awaitable<void> serve(std::shared_ptr<HttpCallerConnection> connection);

    // Refuses the connection at the limit of connections.
    static asio::awaitable<void> refuse(Tcp::socket socket);

private:
    using Parser = http::request_parser<http::string_body>;

    asio::awaitable<void> serveAll();
    asio::awaitable<bool> awaitFirstByte();
    asio::awaitable<bool> serveOne();
    // Nothing when the request is whole; the code is CallerGone when the connection broke.
    asio::awaitable<std::optional<ResultCode>> readRequest(Parser& parser, RequestHeaders& headers, BodyLease& lease);
    asio::awaitable<std::optional<ResultCode>> readBody(Parser& parser, BodyLease& lease);
    std::optional<ResultCode> checkFields(Parser& parser, RequestHeaders& headers) const;
    asio::awaitable<HttpCallerResponse> runRequest(HttpRequest request, const RequestHeaders& headers, BodyLease lease);
    void watchCaller(const std::shared_ptr<HttpRequestRun>& run);
    asio::awaitable<bool> write(HttpResponse& response);
    asio::awaitable<void> closeAfterRefusal();
    void recordActivity() const;

    HttpThread& m_thread;
    HttpSharedState& m_shared;
    HttpStream m_stream;
    beast::flat_buffer m_buf;
};

} // namespace plantainhold
