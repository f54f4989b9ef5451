// Which errors mean what: only RESOURCE_EXHAUSTED is the log's own statement
// that it took nothing. Every other failure leaves the outcome unknown, because
// the record may be on its way or in the log although its reply was lost.

#include "plantainhold/adapters/GrpcLog.h"

#include "plantainhold/adapters/GrpcChannel.h"
#include "plantainhold/base/LogEvent.h"
#include "plantainhold/proto/platform.grpc.pb.h"

#include <grpcpp/channel.h>
#include <grpcpp/client_context.h>

namespace plantainhold {

struct GrpcLog::Stub {
    std::unique_ptr<platform::Log::Stub> log;
};

GrpcLog::GrpcLog(const std::string& address, Milliseconds readTimeout)
    : m_stub(std::make_unique<Stub>(Stub { platform::Log::NewStub(openChannel(address)) }))
    , m_readTimeout(readTimeout)
{
}

GrpcLog::~GrpcLog() = default;

AppendOutcome GrpcLog::append(std::string_view stream, std::string_view payload, Milliseconds timeout)
{
    grpc::ClientContext context;
    context.set_deadline(std::chrono::system_clock::now() + timeout);
    platform::AppendRequest request;
    request.set_stream(std::string(stream));
    request.set_payload(std::string(payload));
    platform::AppendReply reply;
    grpc::Status status = m_stub->log->Append(&context, request, &reply);
    trackOutage(stream, status.ok() || status.error_code() == grpc::StatusCode::RESOURCE_EXHAUSTED);
    if (status.ok())
        return { AppendStatus::Appended, reply.offset() };
    bool isRefused = status.error_code() == grpc::StatusCode::RESOURCE_EXHAUSTED;
    return { isRefused ? AppendStatus::Refused : AppendStatus::Unknown, 0 };
}

void GrpcLog::trackOutage(std::string_view stream, bool succeeded)
{
    TimePoint::rep now = std::chrono::steady_clock::now().time_since_epoch().count();
    TimePoint::rep none = 0;
    if (!succeeded) {
        if (m_failingSince.compare_exchange_strong(none, now))
            LogEvent(EventId::LogUnavailable).field("stream", stream);
        return;
    }
    // The common case costs one load.
    TimePoint::rep since = m_failingSince.load(std::memory_order_relaxed);
    if (since && m_failingSince.compare_exchange_strong(since, 0))
        LogEvent(EventId::LogRecovered).field("after_ms", std::chrono::duration_cast<Milliseconds>(TimePoint::duration(now - since)).count());
}

ReadOutcome GrpcLog::read(std::string_view stream, std::uint64_t from, const ReadLimits& limits)
{
    grpc::ClientContext context;
    context.set_deadline(std::chrono::system_clock::now() + limits.wait + m_readTimeout);
    platform::ReadRequest request;
    request.set_stream(std::string(stream));
    request.set_from(from);
    request.set_max_records(limits.maxRecords);
    request.set_max_bytes(limits.maxBytes);
    request.set_wait_ms(static_cast<std::uint32_t>(limits.wait.count()));
    platform::ReadReply reply;
    ReadOutcome outcome;
    outcome.succeeded = m_stub->log->Read(&context, request, &reply).ok();
    trackOutage(stream, outcome.succeeded);
    if (!outcome.succeeded)
        return outcome;
    outcome.firstOffset = reply.first_offset();
    outcome.nextOffset = reply.next_offset();
    outcome.firstExpiresIn = Milliseconds(reply.first_expires_in_ms());
    for (platform::LogRecord& it : *reply.mutable_records())
        outcome.entries.push_back({ it.offset(), std::move(*it.mutable_payload()) });
    return outcome;
}

} // namespace plantainhold
