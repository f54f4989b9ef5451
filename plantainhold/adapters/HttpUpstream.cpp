// A response counts only when it is complete, states its own length, repeats the
// attempt's id, and nothing follows it.

#include "plantainhold/adapters/HttpUpstream.h"

#include "plantainhold/base/Event.h"
#include "plantainhold/base/LogEvent.h"
#include "plantainhold/routing/RequestHead.h"
#include "plantainhold/util/NumericAddress.h"

#include <algorithm>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace plantainhold {

namespace {

    constexpr Milliseconds s_connectTimeout { 1000 };
    // Data unacknowledged for this long, or probes unanswered, end a connection.
    constexpr int s_userTimeoutMs = 5000;
    constexpr int s_keepaliveIdleSeconds = 5;
    constexpr int s_keepaliveIntervalSeconds = 2;
    constexpr int s_keepaliveProbes = 3;
    constexpr std::uint32_t s_headerLimitBytes = 64 << 10;
    constexpr std::size_t s_bufferLimitBytes = 128 << 10;
    constexpr int s_interimLimit = 8;
    // By this header an executor says that it refused without running anything.
    constexpr const char* s_notRunHeader = "X-Not-Run";

    using ResponseParser = http::response_parser<http::string_body>;

    std::string_view asView(beast::string_view text)
    {
        return { text.data(), text.size() };
    }

    void setOptions(HttpStream& stream)
    {
        ErrorCode ec;
        stream.socket().set_option(Tcp::no_delay(true), ec);
        int descriptor = stream.socket().native_handle();
        auto set = [descriptor](int level, int name, int value) { setsockopt(descriptor, level, name, &value, sizeof value); };
        set(IPPROTO_TCP, TCP_USER_TIMEOUT, s_userTimeoutMs);
        set(SOL_SOCKET, SO_KEEPALIVE, 1);
        set(IPPROTO_TCP, TCP_KEEPIDLE, s_keepaliveIdleSeconds);
        set(IPPROTO_TCP, TCP_KEEPINTVL, s_keepaliveIntervalSeconds);
        set(IPPROTO_TCP, TCP_KEEPCNT, s_keepaliveProbes);
    }

    // An idle connection must have nothing to read: neither an end nor a late response.
    bool hasNothingToRead(HttpStream& stream)
    {
        char c = 0;
        ssize_t n = recv(stream.socket().native_handle(), &c, 1, MSG_PEEK | MSG_DONTWAIT);
        return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    }

    // The list's addresses are not ours to trust.
    std::optional<Tcp::endpoint> tryEndpointOf(const std::string& address)
    {
        try {
            return endpointOf(address);
        } catch (const std::exception&) {
            return std::nullopt;
        }
    }

    using SpanRequest = http::request<http::span_body<const char>>;

    // Passes on what is meant for the executor; the framing is always our own.
    SpanRequest requestFor(const UpstreamCall& call)
    {
        const HttpRequest& from = *call.request;
        SpanRequest request(from.method(), from.target(), 11);
        request.body() = beast::span<const char>(from.body().data(), from.body().size());
        http::token_list nominated(from[http::field::connection]);
        for (const auto& it : from) {
            bool isFraming = it.name() == http::field::content_length || it.name() == http::field::expect;
            if (!isFraming && !isHopByHop(asView(it.name_string())) && !nominated.exists(it.name_string()))
                request.insert(it.name(), it.name_string(), it.value());
        }
        request.set(std::string(s_requestIdHeader), call.attemptId);
        request.set(std::string(s_timeLimitHeader), std::to_string(call.timeLeft.count()));
        request.prepare_payload();
        return request;
    }

} // namespace

void UpstreamCall::cancel()
{
    isCancelled = true;
    if (stream)
        stream->cancel();
}

HttpUpstream::HttpUpstream(asio::io_context& io, ByteBudget& bytes, ConnectionStallTimes& stallTimes, const Clock& clock, Limits limits)
    : m_io(io)
    , m_bytes(bytes)
    , m_stallTimes(stallTimes)
    , m_clock(clock)
    , m_limits(limits)
{
}

HttpUpstream::Connection HttpUpstream::takeIdle(const UpstreamCall& call)
{
    bool requiresNew = call.need == ConnectionRequirement::New && m_limits.suspectsConnections;
    auto it = m_idle.find(call.address);
    if (requiresNew || it == m_idle.end())
        return nullptr;
    bool mustBeFresh = call.need == ConnectionRequirement::RecentlyVerified && m_limits.suspectsConnections;
    TimePoint suspectedAt = m_limits.suspectsConnections ? m_stallTimes.last(call.address) : TimePoint::min();
    while (std::optional<Connection> connection = it->second.take(mustBeFresh, suspectedAt, m_clock.now())) {
        if (hasNothingToRead(**connection))
            return std::move(*connection);
    }
    return nullptr;
}

asio::awaitable<HttpUpstream::Connection> HttpUpstream::connect(const UpstreamCall& call)
{
    std::optional<Tcp::endpoint> endpoint = tryEndpointOf(call.address);
    if (!endpoint)
        co_return nullptr;
    auto stream = std::make_unique<HttpStream>(m_io);
    stream->expires_at(std::min<TimePoint>(call.responseDeadline, m_clock.now() + s_connectTimeout));
    auto [ec] = co_await stream->async_connect(*endpoint, s_asTuple);
    if (ec)
        co_return nullptr;
    setOptions(*stream);
    co_return stream;
}

asio::awaitable<UpstreamOutcome> HttpUpstream::exchange(std::shared_ptr<UpstreamCall> call)
{
    UpstreamOutcome outcome;
    Connection stream = takeIdle(*call);
    outcome.result.wasReused = stream != nullptr;
    if (!stream)
        stream = co_await connect(*call);
    if (!stream) {
        outcome.result.end = AttemptEnd::ConnectFailed;
        co_return outcome;
    }
    call->stream = stream.get();
    TimePoint start = m_clock.now();
    if (co_await send(*call, *stream, outcome))
        co_await receive(*call, std::move(stream), outcome);
    call->stream = nullptr;
    outcome.result.latency = m_clock.now() - start;
    recordStall(*call, outcome.result.end);
    co_return outcome;
}

asio::awaitable<bool> HttpUpstream::send(UpstreamCall& call, HttpStream& stream, UpstreamOutcome& outcome)
{
    outcome.result.end = AttemptEnd::NotSent;
    SpanRequest request = requestFor(call);
    stream.expires_at(call.responseDeadline);
    // Nothing may come between this check and the write.
    if (call.isCancelled || !call.maySend())
        co_return false;
    outcome.result.startedSending = true;
    auto [ec, n] = co_await http::async_write(stream, request, s_asTuple);
    if (!ec)
        co_return true;
    bool isTimeout = ec == beast::error::timeout || ec == asio::error::operation_aborted;
    if (n > 0)
        outcome.result.end = isTimeout ? AttemptEnd::TimedOut : AttemptEnd::Lost;
    co_return false;
}

AttemptEnd HttpUpstream::classifyReadError(const ErrorCode& ec, bool hasReadBytes) const
{
    if (ec == beast::error::timeout || ec == asio::error::operation_aborted)
        return AttemptEnd::TimedOut;
    if (ec == http::error::body_limit || ec == http::error::buffer_overflow || ec == http::error::header_limit)
        return AttemptEnd::TooLarge;
    if (ec == http::error::end_of_stream)
        return AttemptEnd::Lost;
    if (ec == http::error::partial_message)
        return AttemptEnd::Truncated;
    if (ec.category() == http::make_error_code(http::error::bad_value).category())
        return AttemptEnd::Malformed;
    return hasReadBytes ? AttemptEnd::Truncated : AttemptEnd::Lost;
}

asio::awaitable<void> HttpUpstream::receive(UpstreamCall& call, Connection stream, UpstreamOutcome& outcome)
{
    beast::flat_buffer buf(s_bufferLimitBytes);
    std::optional<ResponseParser> parser;
    BodyLease lease(m_bytes);
    for (int i = 0; i < s_interimLimit; ++i) {
        parser.emplace();
        parser->header_limit(s_headerLimitBytes);
        parser->body_limit(static_cast<std::uint64_t>(m_limits.responseBodyBytes));
        parser->skip(call.request->method() == http::verb::head);
        auto [ec, n] = co_await http::async_read_header(*stream, buf, *parser, s_asTuple);
        if (ec) {
            outcome.result.end = classifyReadError(ec, n > 0);
            co_return;
        }
        if (http::to_status_class(parser->get().result()) != http::status_class::informational)
            break;
    }
    while (!parser->is_done()) {
        auto [ec, n] = co_await http::async_read_some(*stream, buf, *parser, s_asTuple);
        bool fits = lease.growTo(parser->get().body().size());
        if (!ec && fits)
            continue;
        outcome.result.end = fits ? classifyReadError(ec, true) : AttemptEnd::TooLarge;
        bool isShort = outcome.result.end == AttemptEnd::Truncated || outcome.result.end == AttemptEnd::Lost;
        if (m_limits.checksAnswers || !isShort)
            co_return;
        break;
    }
    bool statesLength = !parser->need_eof() || call.request->method() == http::verb::head;
    bool keepsOpen = parser->is_done() && parser->get().keep_alive() && buf.size() == 0;
    outcome.result.announcesClose = parser->get().version() == 11 && !parser->get().keep_alive();
    outcome.result.keepsOpen = keepsOpen;
    outcome.result.end = statesLength || !m_limits.checksAnswers ? AttemptEnd::Answered : AttemptEnd::Malformed;
    outcome.response = parser->release();
    outcome.lease = std::move(lease);
    validateResponse(call, outcome);
    if (keepsOpen && outcome.result.end != AttemptEnd::Mismatched)
        m_idle[call.address].put(std::move(stream), m_clock.now());
}

void HttpUpstream::validateResponse(const UpstreamCall& call, UpstreamOutcome& outcome) const
{
    if (outcome.result.end == AttemptEnd::Answered && m_limits.checksAnswers && asView((*outcome.response)[std::string(s_requestIdHeader)]) != call.attemptId)
        outcome.result.end = AttemptEnd::Mismatched;
    bool reportsNotRun = outcome.result.end == AttemptEnd::Answered && outcome.response->result() == http::status::service_unavailable && (*outcome.response)[s_notRunHeader] == "1";
    if (reportsNotRun)
        outcome.result.end = AttemptEnd::Refused;
    if (outcome.result.end != AttemptEnd::Answered)
        outcome.response.reset();
}

void HttpUpstream::recordStall(const UpstreamCall& call, AttemptEnd end)
{
    if (end != AttemptEnd::TimedOut)
        return;
    TimePoint now = m_clock.now();
    m_stallTimes.add(call.address, now);
    auto it = m_idle.find(call.address);
    if (it == m_idle.end() || it->second.size() == 0 || !m_limits.suspectsConnections)
        return;
    LogEvent(EventId::ConnectionsSuspected).field("executor", call.address).field("closed", it->second.size());
    it->second.prune(now, now);
}

void HttpUpstream::prune()
{
    TimePoint now = m_clock.now();
    for (auto& [address, it] : m_idle)
        it.prune(m_stallTimes.last(address), now);
    std::erase_if(m_idle, [](const auto& it) { return it.second.size() == 0; });
}

} // namespace plantainhold
