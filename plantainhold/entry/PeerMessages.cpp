#include "plantainhold/entry/PeerMessages.h"

#include "plantainhold/proto/peers.pb.h"

#include <utility>

namespace plantainhold {

namespace {
    constexpr auto s_lastKind = static_cast<std::uint32_t>(JobRequestKind::Cancel);
    constexpr auto s_lastOutcome = static_cast<std::uint32_t>(JobRequestOutcome::Invalid);
    constexpr auto s_lastState = static_cast<std::uint32_t>(JobState::Cancelled);
} // namespace

std::string encodeJobRequest(const JobRequest& request)
{
    wire::JobQuestionRecord record;
    record.set_kind(static_cast<std::uint32_t>(request.kind));
    record.set_id(request.id);
    record.set_queue(request.queue.name);
    if (request.queue.addressHash)
        record.set_address_hash(*request.queue.addressHash);
    record.set_record(request.record);
    record.set_patience_ms(static_cast<std::uint32_t>(request.timeout.count()));
    return record.SerializeAsString();
}

std::optional<JobRequest> decodeJobRequest(std::string_view bytes)
{
    wire::JobQuestionRecord record;
    if (!record.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())) || record.kind() > s_lastKind)
        return std::nullopt;
    QueueIdentity queue { record.queue(), record.has_address_hash() ? std::optional(record.address_hash()) : std::nullopt };
    return JobRequest { static_cast<JobRequestKind>(record.kind()), record.id(), std::move(queue), record.record(), Milliseconds(record.patience_ms()) };
}

std::string encodeJobReply(const JobReply& reply)
{
    wire::JobReplyRecord record;
    record.set_verdict(static_cast<std::uint32_t>(reply.outcome));
    record.set_state(static_cast<std::uint32_t>(reply.state));
    record.set_pending(reply.pending);
    return record.SerializeAsString();
}

std::optional<JobReply> decodeJobReply(std::string_view bytes)
{
    wire::JobReplyRecord record;
    if (!record.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        return std::nullopt;
    if (record.verdict() > s_lastOutcome || record.state() > s_lastState)
        return std::nullopt;
    return JobReply { static_cast<JobRequestOutcome>(record.verdict()), static_cast<JobState>(record.state()), record.pending() };
}

} // namespace plantainhold
