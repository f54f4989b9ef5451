// Connections to executors, in one pool per request thread. A connection carries one
// exchange at a time, so a response can only belong to the request sent on it.
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
    // A connection that returned a response very recently, or a new one.
    RecentlyVerified,
    // A new connection.
    New,
};

// One request to one executor, and the handle that cancels it.
struct UpstreamCall {
    std::string address;
    // Shared with other attempts. The exchange copies the headers but not the body.
    std::shared_ptr<const HttpRequest> request;
    // Unique per request and attempt; the executor echoes it in its response.
    std::string attemptId;
    ConnectionRequirement need = ConnectionRequirement::Any;
    // Remaining time that is sent to the executor.
    Milliseconds timeLeft { 0 };
    TimePoint responseDeadline;
    // Called immediately before the first byte is sent; if it returns false, nothing is sent.
    std::function<bool()> maySend;

    // Set by cancel(); read by the exchange.
    bool isCancelled = false;
    HttpStream* stream = nullptr;

    // Ends the exchange, which reports a timeout if any bytes were sent. Must be called on
    // the thread that runs the exchange.
    void cancel();
};

struct UpstreamOutcome {
    AttemptResult result;
    // Set if result.end is Answered.
    std::optional<HttpResponse> response;
    std::optional<BodyLease> lease;
};

class HttpUpstream {
public:
    struct Limits {
        std::int64_t responseBodyBytes = 0;
        // Each is false only in a negative control, which disables the protection on purpose.
        bool checksAnswers = true;
        bool suspectsConnections = true;
    };

    // Precondition: all references outlive this object. `bytes`, `stallTimes` and `clock` are
    // shared by the request threads.
    HttpUpstream(asio::io_context& io, ByteBudget& bytes, ConnectionStallTimes& stallTimes, const Clock& clock, Limits limits);

    // Sends the request and reads the complete response. Never throws. Runs only on the
    // thread of the io_context, like prune().
    asio::awaitable<UpstreamOutcome> exchange(std::shared_ptr<UpstreamCall> call);

    // Closes idle connections that must not be reused.
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
