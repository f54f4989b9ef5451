// Connections to executors: one pool a request thread, one exchange at a time on
// a connection, so that an outcome can only belong to the request sent on it.
#pragma once

#include "plantainhold/adapters/HttpTypes.h"
#include "plantainhold/routing/AttemptResult.h"
#include "plantainhold/routing/ConnectionStallTimes.h"
#include "plantainhold/routing/IdleConnections.h"

#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>

namespace plantainhold {

enum class ConnectionRequirement : std::uint8_t {
    // Any idle connection that is not suspect.
    Any,
    // One that has just proved itself, or a new one.
    RecentlyVerified,
    // A new one.
    New,
};

// One request for one executor, and the handle by which it is cut short.
struct UpstreamCall {
    std::string address;
    // Shared with other attempts; the head is copied, the body is not.
    std::shared_ptr<const HttpRequest> request;
    // Unique a request and an attempt; the executor repeats it.
    std::string attemptId;
    ConnectionRequirement need = ConnectionRequirement::Any;
    // Time that the executor is told it has.
    Milliseconds timeLeft { 0 };
    TimePoint responseDeadline;
    // Asked just before the first byte leaves; false sends nothing.
    std::function<bool()> maySend;

    // Set by cancel(); read by the exchange.
    bool isCancelled = false;
    HttpStream* stream = nullptr;

    // Ends the exchange; it is reported as timed out if bytes have left. Same thread only.
    void cancel();
};

struct UpstreamOutcome {
    AttemptResult result;
    // Set when the result is Answered.
    std::optional<HttpResponse> response;
    std::optional<BodyLease> lease;
};

class HttpUpstream {
public:
    struct Limits {
        std::int64_t responseBodyBytes = 0;
        // Each off only in a negative control.
        bool checksAnswers = true;
        bool suspectsConnections = true;
    };

    // All are shared by the request threads and outlive this one.
    HttpUpstream(asio::io_context& io, ByteBudget& bytes, ConnectionStallTimes& stallTimes, const Clock& clock, Limits limits);

    // Sends the request and reads the whole outcome. Never throws. Runs on the
    // thread of the io_context alone, as all that follows.
    asio::awaitable<UpstreamOutcome> exchange(std::shared_ptr<UpstreamCall> call);

    // Closes idle connections that may not be used again.
    void prune();

private:
    using Connection = std::unique_ptr<HttpStream>;

    Connection takeIdle(const UpstreamCall& call);
    asio::awaitable<Connection> connect(const UpstreamCall& call);
    asio::awaitable<bool> send(UpstreamCall& call, HttpStream& stream, UpstreamOutcome& outcome);
    asio::awaitable<void> receive(UpstreamCall& call, Connection stream, UpstreamOutcome& outcome);
    AttemptEnd classifyReadError(const ErrorCode& ec, bool hasReadBytes) const;
    void validateResponse(const UpstreamCall& call, UpstreamOutcome& outcome) const;
    void recordStall(const UpstreamCall& call, AttemptEnd end);

    asio::io_context& m_io;
    ByteBudget& m_bytes;
    ConnectionStallTimes& m_stallTimes;
    const Clock& m_clock;
    const Limits m_limits;
    std::unordered_map<std::string, IdleConnections<Connection>> m_idle;
};

} // namespace plantainhold
