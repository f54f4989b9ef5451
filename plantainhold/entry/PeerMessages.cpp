#include "plantainhold/entry/PeerMessages.h"

#include "plantainhold/proto/peers.pb.h"

namespace plantainhold {

namespace {
    constexpr auto s_lastKind = static_cast<std::uint32_t>(JobQuestionKind::Cancel);
    constexpr auto s_lastVerdict = static_cast<std::uint32_t>(JobVerdict::Invalid);
    constexpr auto s_lastState = static_cast<std::uint32_t>(JobState::Cancelled);
} // namespace

std::string encodeQuestion(const JobQuestion& question)
{
    wire::JobQuestionRecord record;
    record.set_kind(static_cast<std::uint32_t>(question.kind));
    record.set_id(question.id);
    record.set_queue(question.queue);
    record.set_record(question.record);
    record.set_patience_ms(static_cast<std::uint32_t>(question.patience.count()));
    return record.SerializeAsString();
}

std::optional<JobQuestion> decodeQuestion(std::string_view bytes)
{
    wire::JobQuestionRecord record;
    if (!record.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())) || record.kind() > s_lastKind)
        return std::nullopt;
    return JobQuestion { static_cast<JobQuestionKind>(record.kind()), record.id(), record.queue(), record.record(), Milliseconds(record.patience_ms()) };
}

std::string encodeReply(const JobReply& reply)
{
    wire::JobReplyRecord record;
    record.set_verdict(static_cast<std::uint32_t>(reply.verdict));
    record.set_state(static_cast<std::uint32_t>(reply.state));
    record.set_pending(reply.pending);
    return record.SerializeAsString();
}

std::optional<JobReply> decodeReply(std::string_view bytes)
{
    wire::JobReplyRecord record;
    if (!record.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        return std::nullopt;
    if (record.verdict() > s_lastVerdict || record.state() > s_lastState)
        return std::nullopt;
    return JobReply { static_cast<JobVerdict>(record.verdict()), static_cast<JobState>(record.state()), record.pending() };
}

} // namespace plantainhold
