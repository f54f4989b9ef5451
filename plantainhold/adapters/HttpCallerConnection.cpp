// Every limit of a caller's connection is in this file: header bytes, header
// time, body bytes, body time, idle time, time to take an answer.

#include "plantainhold/adapters/HttpCallerConnection.h"

#include "plantainhold/adapters/HttpCallerResponse.h"
#include "plantainhold/base/StrategySet.h"
#include "plantainhold/config/Settings.h"
#include "plantainhold/routing/RequestOutcome.h"

#include <algorithm>
#include <sys/socket.h>

namespace plantainhold {

namespace {

    constexpr std::uint32_t s_headerLimitBytes = 16 << 10;
    constexpr std::size_t s_bufferLimitBytes = 64 << 10;
    constexpr Milliseconds s_idleTimeout { 60'000 };
    constexpr Milliseconds s_headerTimeout { 5'000 };
    // Between two pieces of a body, and for a whole one.
    constexpr Milliseconds s_readTimeout { 5'000 };
    constexpr Milliseconds s_bodyTimeout { 60'000 };
    constexpr Milliseconds s_writeTimeout { 30'000 };
    constexpr Milliseconds s_refusalTimeout { 1'000 };
    // What is read and thrown away so that a refusal reaches its caller.
    constexpr std::size_t s_discardLimitBytes = 1 << 20;
    constexpr std::string_view s_continue = "HTTP/1.1 100 Continue\r\n\r\n";

    std::optional<ResultCode> refusalOf(const ErrorCode& ec)
    {
        if (!ec)
            return std::nullopt;
        if (ec == http::error::header_limit || ec == http::error::buffer_overflow)
            return ResultCode::HeaderTooLarge;
        if (ec == http::error::body_limit)
            return ResultCode::BodyTooLarge;
        if (ec == http::error::bad_version)
            return ResultCode::HttpVersionUnsupported;
        if (ec == beast::error::timeout)
            return ResultCode::RequestTooSlow;
        if (ec == http::error::end_of_stream || ec == http::error::partial_message)
            return ResultCode::CallerGone;
        if (ec.category() == http::make_error_code(http::error::bad_value).category())
            return ResultCode::RequestMalformed;
        return ResultCode::CallerGone;
    }

    // Counts a request from its first byte to the last byte of its answer.
    class InFlight {
    public:
        explicit InFlight(HttpSharedState& shared)
            : m_shared(shared)
        {
            ++m_shared.inFlight;
        }
        ~InFlight() { --m_shared.inFlight; }
        InFlight(const InFlight&) = delete;
        InFlight& operator=(const InFlight&) = delete;

    private:
        HttpSharedState& m_shared;
    };

} // namespace

HttpCallerConnection::HttpCallerConnection(HttpThread& thread, Tcp::socket socket)
    : m_thread(thread)
    , m_shared(thread.shared)
    , m_stream(std::move(socket))
    , m_buf(s_bufferLimitBytes)
{
    ++m_shared.callerConnections;
    ErrorCode ec;
    m_stream.socket().set_option(Tcp::no_delay(true), ec);
}

HttpCallerConnection::~HttpCallerConnection()
{
    --m_shared.callerConnections;
}

void HttpCallerConnection::recordActivity() const
{
    m_shared.lastActivity = m_shared.context.clock.now().time_since_epoch().count();
}

asio::awaitable<void> HttpCallerConnection::serve(std::shared_ptr<HttpCallerConnection> connection)
{
    co_await connection->serveAll();
}

asio::awaitable<void> HttpCallerConnection::serveAll()
{
    while (co_await awaitFirstByte()) {
        InFlight inFlight(m_shared);
        recordActivity();
        bool keepsOpen = co_await serveOne();
        recordActivity();
        if (!keepsOpen)
            co_return;
    }
}

asio::awaitable<bool> HttpCallerConnection::awaitFirstByte()
{
    if (m_buf.size() > 0)
        co_return true;
    constexpr std::size_t s_firstReadBytes = 4 << 10;
    m_stream.expires_after(s_idleTimeout);
    auto [ec, n] = co_await m_stream.async_read_some(m_buf.prepare(s_firstReadBytes), s_asTuple);
    m_buf.commit(n);
    co_return !ec && n > 0;
}

asio::awaitable<bool> HttpCallerConnection::serveOne()
{
    Parser parser;
    RequestHeaders headers;
    BodyLease lease(m_shared.bytes);
    std::optional<ResultCode> refusal = co_await readRequest(parser, headers, lease);
    if (refusal) {
        m_shared.metrics.ended({}, *refusal, {});
        if (*refusal == ResultCode::CallerGone)
            co_return false;
        HttpResponse response = makeRefusal(*refusal, httpStatusOf(*refusal), 11);
        response.keep_alive(false);
        if (co_await write(response))
            co_await closeAfterRefusal();
        co_return false;
    }
    HttpRequest request = parser.release();
    bool isHead = request.method() == http::verb::head;
    bool keepsOpen = request.keep_alive();
    HttpCallerResponse answer = co_await runRequest(std::move(request), headers, std::move(lease));
    // Read only now: a stop that began in the meantime ends this connection too.
    keepsOpen = keepsOpen && !m_shared.context.isDraining;
    answer.response.keep_alive(keepsOpen);
    if (isHead)
        answer.response.body().clear();
    co_return co_await write(answer.response) && keepsOpen;
}

asio::awaitable<std::optional<ResultCode>> HttpCallerConnection::readRequest(Parser& parser, RequestHeaders& headers, BodyLease& lease)
{
    parser.header_limit(s_headerLimitBytes);
    parser.body_limit(static_cast<std::uint64_t>(m_shared.context.settings.requestBodyLimitBytes));
    m_stream.expires_after(s_headerTimeout);
    auto [ec, n] = co_await http::async_read_header(m_stream, m_buf, parser, s_asTuple);
    if (std::optional<ResultCode> refusal = refusalOf(ec))
        co_return refusal;
    if (std::optional<ResultCode> refusal = checkFields(parser, headers))
        co_return refusal;
    if (headers.expectsContinue && m_buf.size() == 0) {
        m_stream.expires_after(s_readTimeout);
        auto [writeError, written] = co_await asio::async_write(m_stream, asio::buffer(s_continue), s_asTuple);
        if (writeError)
            co_return ResultCode::CallerGone;
    }
    co_return co_await readBody(parser, lease);
}

asio::awaitable<std::optional<ResultCode>> HttpCallerConnection::readBody(Parser& parser, BodyLease& lease)
{
    // The library reserves what Content-Length announces; so it counts at once.
    if (parser.content_length() && !lease.growTo(static_cast<std::size_t>(*parser.content_length())))
        co_return ResultCode::MemoryLimit;
    TimePoint until = m_shared.context.clock.now() + s_bodyTimeout;
    while (!parser.is_done()) {
        m_stream.expires_at(std::min<TimePoint>(until, m_shared.context.clock.now() + s_readTimeout));
        auto [ec, n] = co_await http::async_read_some(m_stream, m_buf, parser, s_asTuple);
        if (std::optional<ResultCode> refusal = refusalOf(ec))
            co_return refusal;
        if (!lease.growTo(parser.get().body().size()))
            co_return ResultCode::MemoryLimit;
    }
    co_return std::nullopt;
}

std::optional<ResultCode> HttpCallerConnection::checkFields(Parser& parser, RequestHeaders& headers) const
{
    auto view = [](beast::string_view text) { return std::string_view(text.data(), text.size()); };
    std::vector<HeadField> fields;
    for (const auto& it : parser.get())
        fields.push_back({ view(it.name_string()), view(it.value()) });
    const auto& request = parser.get();
    return checkHead({ view(request.method_string()), view(request.target()), request.version(), fields }, headers);
}

asio::awaitable<HttpCallerResponse> HttpCallerConnection::runRequest(HttpRequest request, const RequestHeaders& headers, BodyLease lease)
{
    auto run = std::make_shared<HttpRequestRun>(m_thread, std::move(request), headers, std::move(lease));
    m_stream.expires_never();
    watchCaller(run);
    HttpCallerResponse answer = co_await run->run();
    ErrorCode ec;
    m_stream.socket().cancel(ec);
    co_return answer;
}

void HttpCallerConnection::watchCaller(const std::shared_ptr<HttpRequestRun>& run)
{
    auto onReadable = [self = shared_from_this(), weak = std::weak_ptr<HttpRequestRun>(run)](const ErrorCode& ec) {
        std::shared_ptr<HttpRequestRun> watched = weak.lock();
        if (ec || !watched)
            return;
        char c = 0;
        // Bytes mean that the caller pipelines; then its end shows on the write.
        if (recv(self->m_stream.socket().native_handle(), &c, 1, MSG_PEEK | MSG_DONTWAIT) <= 0)
            watched->callerGone();
    };
    m_stream.socket().async_wait(Tcp::socket::wait_read, std::move(onReadable));
}

asio::awaitable<bool> HttpCallerConnection::write(HttpResponse& response)
{
    m_stream.expires_after(s_writeTimeout);
    auto [ec, n] = co_await http::async_write(m_stream, response, s_asTuple);
    co_return !ec;
}

asio::awaitable<void> HttpCallerConnection::closeAfterRefusal()
{
    // Closing with unread bytes would reset the connection before the caller has
    // read why; so some are read and thrown away.
    ErrorCode ec;
    m_stream.socket().shutdown(Tcp::socket::shutdown_send, ec);
    m_stream.expires_after(s_refusalTimeout);
    m_buf.clear();
    std::size_t discarded = 0;
    while (discarded < s_discardLimitBytes) {
        m_buf.clear();
        auto [readError, n] = co_await m_stream.async_read_some(m_buf.prepare(s_headerLimitBytes), s_asTuple);
        if (readError)
            co_return;
        discarded += n;
    }
}

asio::awaitable<void> HttpCallerConnection::refuse(Tcp::socket socket)
{
    HttpStream stream(std::move(socket));
    HttpResponse response = makeRefusal(ResultCode::ConnectionLimit, httpStatusOf(ResultCode::ConnectionLimit), 11);
    response.keep_alive(false);
    stream.expires_after(s_refusalTimeout);
    co_await http::async_write(stream, response, s_asTuple);
    ErrorCode ec;
    stream.socket().shutdown(Tcp::socket::shutdown_send, ec);
    char buf[512];
    co_await stream.async_read_some(asio::buffer(buf), s_asTuple);
}

} // namespace plantainhold
