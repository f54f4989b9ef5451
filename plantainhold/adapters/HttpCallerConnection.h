// One caller's connection: reads requests one at a time within size and time limits,
// runs each, and writes its response. A request that arrives while the previous one
// runs stays in the socket buffer, so responses keep the order of the requests.
#pragma once

#include "plantainhold/adapters/HttpRequestRun.h"

#include <memory>

namespace plantainhold {

class HttpCallerConnection final : public std::enable_shared_from_this<HttpCallerConnection> {
public:
    HttpCallerConnection(HttpThread& thread, Tcp::socket socket);
    ~HttpCallerConnection();

    // Serves a connection until it closes. Runs only on the thread's io_context. The
    // coroutine owns the connection because it may start after its caller has returned.
    static asio::awaitable<void> serve(std::shared_ptr<HttpCallerConnection> connection);

    // Sends a refusal because the connection limit is reached, then closes.
    static asio::awaitable<void> refuse(Tcp::socket socket);

private:
    using Parser = http::request_parser<http::string_body>;

    asio::awaitable<void> serveAll();
    asio::awaitable<bool> awaitFirstByte();
    asio::awaitable<bool> serveOne();
    // Returns std::nullopt if the request is complete, CallerGone if the connection broke,
    // and the code of the refusal otherwise.
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
