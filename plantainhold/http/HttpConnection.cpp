#include "plantainhold/http/HttpConnection.h"

#include "plantainhold/base/ResultCode.h"
#include "plantainhold/http/MeteredBody.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <string>
#include <utility>

namespace plantainhold {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

    using Milliseconds = std::chrono::milliseconds;

    constexpr Milliseconds s_writeTimeout { 10'000 };
    // A refusal is short; whoever does not take it at once gets none.
    constexpr Milliseconds s_refusalTimeout { 1'000 };
    constexpr std::uint32_t s_refusalRetrySeconds = 1;
    constexpr std::size_t s_readBytes = 4'096;
    constexpr std::size_t s_maxFields = 128;
    // Bytes of a last chunk without extensions or trailers, "0", and two line ends: what is to come of a body in chunks
    // is never shorter.
    constexpr std::size_t s_shortestLastChunk = 5;
    // What one field costs beside its text once it is parsed.
    constexpr std::int64_t s_fieldBytes = 64;
    // The body, the job that is decoded from it, and the record that is stored.
    constexpr std::int64_t s_handledFactor = 3;
    constexpr std::int64_t s_leastBytesPerSecond = 32'768;
    constexpr std::int64_t s_maxDeadlineMs = 3'600'000;
    constexpr std::string_view s_deadlineHeader = "Plantainhold-Deadline-Ms";
    constexpr std::string_view s_headEnd = "\r\n\r\n";

    HttpMethod methodOf(http::verb verb)
    {
        switch (verb) {
        case http::verb::get:
            return HttpMethod::Get;
        case http::verb::post:
            return HttpMethod::Post;
        case http::verb::delete_:
            return HttpMethod::Delete;
        default:
            return HttpMethod::Other;
        }
    }

    HttpRequest requestOf(http::request<MeteredBody>& message)
    {
        HttpRequest request;
        request.method = methodOf(message.method());
        request.host = std::string(message[http::field::host]);
        request.path = std::string(message.target());
        request.body = std::move(message.body().text);
        std::string_view deadline = message[s_deadlineHeader];
        std::from_chars(deadline.data(), deadline.data() + deadline.size(), request.deadlineMs);
        request.deadlineMs = std::min(request.deadlineMs, s_maxDeadlineMs);
        return request;
    }

    // Increments a counter for the lifetime of the object.
    class ScopedCount {
    public:
        explicit ScopedCount(std::size_t& n)
            : m_count(n)
        {
            ++m_count;
        }
        ~ScopedCount() { --m_count; }
        ScopedCount(const ScopedCount&) = delete;
        ScopedCount& operator=(const ScopedCount&) = delete;

    private:
        std::size_t& m_count;
    };

    Milliseconds bodyTimeout(const HttpLimits& limits)
    {
        return Milliseconds(limits.headerTimeoutMs + std::int64_t { 1'000 } * limits.maxBodyBytes / s_leastBytesPerSecond);
    }

} // namespace

HttpConnection::HttpConnection(asio::ip::tcp::socket socket, HttpListenerState& listener, ConnectionBudget& budget, ListenerKind kind)
    : m_listener(listener)
    , m_stream(std::move(socket))
    , m_account(budget, kind, [this](RefusalReason reason) { giveWay(reason); })
{
    boost::system::error_code ec;
    m_stream.socket().set_option(asio::ip::tcp::no_delay(true), ec);
}

void HttpConnection::giveWay(RefusalReason reason)
{
    // A descriptor is needed at once; for memory there is time to say that the request has not run.
    if (reason == RefusalReason::Connections || !m_isHeadRead) {
        m_stream.close();
        return;
    }
    refuseForMemory();
    m_stream.cancel();
}

void HttpConnection::refuseForMemory()
{
    m_refusal = HttpResponse { 503, "{\"error\":\"" + resultLabel(ResultCode::JobNotStored) + ": too much is held for other requests; it has not run\"}" };
    m_refusal->retryAfterSeconds = s_refusalRetrySeconds;
}

void HttpConnection::refuse(unsigned status, RefusalReason reason)
{
    m_account.countRefusal(reason);
    m_refusal = HttpResponse { status, {} };
}

asio::awaitable<void> HttpConnection::serve()
{
    for (bool keepsAlive = true; keepsAlive && !m_account.isOver();) {
        std::optional<Received> received = co_await readRequest();
        if (m_refusal) {
            m_isHeadRead = false;
            co_await send(*std::exchange(m_refusal, std::nullopt), false);
            break;
        }
        if (!received || m_account.isOver())
            co_return;
        keepsAlive = received->keepsAlive;
        ScopedCount open(m_listener.openRequests);
        HttpResponse response = co_await handle(std::move(received->request));
        if (response.abortsConnection)
            co_return;
        keepsAlive = keepsAlive && !m_listener.isDraining;
        bool isSent = co_await send(std::move(response), keepsAlive);
        if (!isSent)
            co_return;
    }
    boost::system::error_code ec;
    m_stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ec);
}

std::string_view HttpConnection::buffered() const
{
    auto data = m_buf.data();
    return { static_cast<const char*>(data.data()), data.size() };
}

std::size_t HttpConnection::headLength()
{
    std::size_t end = buffered().find(s_headEnd, m_searched);
    if (end != std::string_view::npos)
        return end + s_headEnd.size();
    // The mark may begin in the last bytes.
    m_searched = m_buf.size() - std::min(m_buf.size(), s_headEnd.size() - 1);
    return 0;
}

bool HttpConnection::hasTooManyFields(std::size_t headBytes) const
{
    std::string_view head = buffered().substr(0, headBytes);
    // The first line and the empty one are no fields.
    return std::count(head.begin(), head.end(), '\n') > static_cast<std::ptrdiff_t>(s_maxFields + 2);
}

asio::awaitable<bool> HttpConnection::readHead()
{
    boost::system::error_code ec;
    m_stream.expires_after(Milliseconds(m_listener.limits.headerTimeoutMs));
    while (!headLength()) {
        if (m_buf.size() > m_listener.limits.maxHeaderBytes) {
            refuse(431, RefusalReason::HeadTooLarge);
            co_return false;
        }
        std::size_t n = co_await m_stream.async_read_some(m_buf.prepare(s_readBytes), asio::redirect_error(asio::use_awaitable, ec));
        m_buf.commit(n);
        if (ec == beast::error::timeout)
            m_account.countRefusal(RefusalReason::SlowRequest);
        if (ec)
            co_return false;
        if (!m_account.hold(static_cast<std::int64_t>(m_buf.size()))) {
            m_account.countRefusal(RefusalReason::Memory);
            co_return false;
        }
    }
    co_return true;
}

asio::awaitable<std::optional<HttpConnection::Received>> HttpConnection::readRequest()
{
    boost::system::error_code ec;
    m_isHeadRead = false;
    m_searched = 0;
    m_buf.max_size(std::max<std::size_t>(m_buf.size(), m_listener.limits.maxHeaderBytes) + s_readBytes);
    if (!m_buf.size()) {
        if (m_buf.capacity() > s_readBytes)
            m_buf.shrink_to_fit();
        m_account.enter(ConnectionPhase::Idle);
        m_account.hold(0);
        // The idle timeout applies until the first byte of a request arrives.
        m_stream.expires_after(Milliseconds(m_listener.limits.idleTimeoutMs));
        std::size_t n = co_await m_stream.async_read_some(m_buf.prepare(s_readBytes), asio::redirect_error(asio::use_awaitable, ec));
        if (ec)
            co_return std::nullopt;
        m_buf.commit(n);
    }
    m_account.enter(ConnectionPhase::Busy);
    std::size_t headBytes = headLength();
    if (!headBytes) {
        bool isComplete = co_await readHead();
        if (!isComplete)
            co_return std::nullopt;
        headBytes = headLength();
    }
    if (hasTooManyFields(headBytes)) {
        refuse(431, RefusalReason::HeadTooLarge);
        co_return std::nullopt;
    }
    m_isHeadRead = true;
    co_return co_await readBody(headBytes);
}

asio::awaitable<std::optional<HttpConnection::Received>> HttpConnection::readBody(std::size_t headBytes)
{
    http::request_parser<MeteredBody> parser;
    parser.header_limit(m_listener.limits.maxHeaderBytes);
    parser.body_limit(m_listener.limits.maxBodyBytes);
    std::string_view head = buffered().substr(0, headBytes);
    std::int64_t fields = std::count(head.begin(), head.end(), '\n');
    auto& body = parser.get().body();
    body.account = &m_account;
    body.headBytes = static_cast<std::int64_t>(m_buf.size()) + fields * s_fieldBytes;
    boost::system::error_code ec;
    if (!m_account.hold(body.headBytes)) {
        onRequestFailed(MeteredBody::s_noRoom);
        co_return std::nullopt;
    }
    // Most requests are complete with their first bytes and need no further reading.
    parser.eager(true);
    m_buf.consume(parser.put(m_buf.data(), ec));
    if (ec == http::error::need_more)
        ec = {};
    m_stream.expires_after(bodyTimeout(m_listener.limits));
    // Cancelling does nothing for a read that has just ended, so each one looks whether the connection gave way.
    while (!ec && !parser.is_done() && !m_account.isOver()) {
        // Trailers that never end.
        if (m_buf.size() + s_readBytes > m_buf.max_size()) {
            refuse(431, RefusalReason::HeadTooLarge);
            co_return std::nullopt;
        }
        std::size_t n = co_await m_stream.async_read_some(m_buf.prepare(s_readBytes), asio::redirect_error(asio::use_awaitable, ec));
        m_buf.commit(n);
        // The parser asserts that a last chunk which it has begun comes on with all of its bytes.
        if (ec || (parser.chunked() && m_buf.size() < s_shortestLastChunk))
            continue;
        m_buf.consume(parser.put(m_buf.data(), ec));
        if (ec == http::error::need_more)
            ec = {};
    }
    if (m_account.isOver())
        co_return std::nullopt;
    if (ec) {
        onRequestFailed(ec);
        co_return std::nullopt;
    }
    Received received { requestOf(parser.get()), parser.get().keep_alive() };
    co_return received;
}

void HttpConnection::onRequestFailed(const boost::system::error_code& ec)
{
    if (ec == MeteredBody::s_noRoom) {
        m_account.countRefusal(RefusalReason::Memory);
        refuseForMemory();
        return;
    }
    if (ec == beast::error::timeout)
        m_account.countRefusal(RefusalReason::SlowRequest);
    if (ec.category() != make_error_code(http::error::body_limit).category() || ec == http::error::end_of_stream || ec == http::error::partial_message)
        return;
    if (ec == http::error::body_limit)
        refuse(413, RefusalReason::BodyTooLarge);
    else if (ec == http::error::header_limit)
        refuse(431, RefusalReason::HeadTooLarge);
    else
        m_refusal = HttpResponse { 400, {} };
}

asio::awaitable<HttpResponse> HttpConnection::handle(HttpRequest request)
{
    m_account.enter(ConnectionPhase::Handled);
    // From here on a refusal could be false.
    m_isHeadRead = false;
    auto bytes = static_cast<std::int64_t>(m_buf.size() + request.host.size() + request.path.size());
    if (!m_account.hold(bytes + s_handledFactor * static_cast<std::int64_t>(request.body.size()))) {
        m_account.countRefusal(RefusalReason::Memory);
        refuseForMemory();
        co_return *std::exchange(m_refusal, std::nullopt);
    }
    co_return co_await m_listener.handler(std::move(request));
}

asio::awaitable<bool> HttpConnection::send(HttpResponse response, bool keepsAlive)
{
    m_account.enter(ConnectionPhase::Busy);
    m_account.hold(static_cast<std::int64_t>(m_buf.size() + response.body.size()));
    bool isRefusal = m_account.isOver();
    http::response<http::string_body> message(static_cast<http::status>(response.status), 11);
    message.set(http::field::content_type, response.contentType);
    if (response.retryAfterSeconds)
        message.set(http::field::retry_after, std::to_string(response.retryAfterSeconds));
    message.keep_alive(keepsAlive);
    message.body() = std::move(response.body);
    message.prepare_payload();
    m_stream.expires_after(isRefusal ? s_refusalTimeout : s_writeTimeout);
    boost::system::error_code ec;
    co_await http::async_write(m_stream, message, asio::redirect_error(asio::use_awaitable, ec));
    if (ec == beast::error::timeout && !isRefusal)
        m_account.countRefusal(RefusalReason::SlowReader);
    co_return !ec;
}

} // namespace plantainhold
