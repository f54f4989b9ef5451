// Claim records are stored as Protocol Buffers messages.

#include "plantainhold/claims/ClaimCodec.h"

#include "plantainhold/proto/request.pb.h"

namespace plantainhold {

namespace {

    std::uint32_t countOf(Milliseconds duration)
    {
        return static_cast<std::uint32_t>(duration.count());
    }

    void fillClaim(request::Claim& message, const ClaimRecord& record)
    {
        message.set_key(bytesOf(record.key));
        message.set_holder(record.holder);
        message.set_body_hash(record.bodyHash);
        message.set_valid_ms(countOf(record.validity));
        message.set_run_ms(countOf(record.runLimit));
    }

    void fillOutcome(request::Outcome& message, const ClaimRecord& record)
    {
        message.set_key(bytesOf(record.key));
        message.set_result(record.result);
        message.set_status(record.status);
        message.set_body_hash(record.bodyHash);
    }

    void fillRetained(request::Retained& message, const ClaimRecord& record)
    {
        message.set_key(bytesOf(record.key));
        message.set_holder(record.holder);
        message.set_body_hash(record.bodyHash);
        message.set_run_ms(countOf(record.runLimit));
        message.set_ended(record.hasEnded);
        message.set_result(record.result);
        message.set_status(record.status);
        message.set_since_offset(record.offset);
    }

    bool readKey(ClaimRecord& record, const std::string& bytes)
    {
        auto word = wordFromBytes(bytes);
        if (!word)
            return false;
        record.key = { *word };
        return true;
    }

    bool readClaim(ClaimRecord& record, const request::Claim& message)
    {
        record.kind = ClaimRecordKind::Claim;
        record.holder = message.holder();
        record.bodyHash = message.body_hash();
        record.validity = Milliseconds(message.valid_ms());
        record.runLimit = Milliseconds(message.run_ms());
        return readKey(record, message.key());
    }

    bool readOutcome(ClaimRecord& record, const request::Outcome& message)
    {
        record.kind = ClaimRecordKind::Outcome;
        record.hasEnded = true;
        record.result = message.result();
        record.status = message.status();
        record.bodyHash = message.body_hash();
        return readKey(record, message.key());
    }

    bool readRetained(ClaimRecord& record, const request::Retained& message)
    {
        record.kind = ClaimRecordKind::Retained;
        record.holder = message.holder();
        record.bodyHash = message.body_hash();
        record.runLimit = Milliseconds(message.run_ms());
        record.hasEnded = message.ended();
        record.result = message.result();
        record.status = message.status();
        record.offset = message.since_offset();
        return readKey(record, message.key());
    }

    bool readKind(ClaimRecord& record, const request::ClaimRecord& message)
    {
        switch (message.kind_case()) {
        case request::ClaimRecord::kClaim:
            return readClaim(record, message.claim());
        case request::ClaimRecord::kAbandoned:
            record.kind = ClaimRecordKind::Abandoned;
            return readKey(record, message.abandoned().key());
        case request::ClaimRecord::kOutcome:
            return readOutcome(record, message.outcome());
        case request::ClaimRecord::kRetained:
            return readRetained(record, message.retained());
        default:
            return false;
        }
    }

} // namespace

std::string encodeClaimRecord(const ClaimRecord& record)
{
    request::ClaimRecord message;
    if (record.kind == ClaimRecordKind::Forgotten) {
        message.mutable_forgotten()->set_through_offset(record.offset);
        return message.SerializeAsString();
    }
    message.set_claim_id(bytesOf(record.id));
    if (record.kind == ClaimRecordKind::Claim)
        fillClaim(*message.mutable_claim(), record);
    else if (record.kind == ClaimRecordKind::Abandoned)
        message.mutable_abandoned()->set_key(bytesOf(record.key));
    else if (record.kind == ClaimRecordKind::Outcome)
        fillOutcome(*message.mutable_outcome(), record);
    else
        fillRetained(*message.mutable_retained(), record);
    return message.SerializeAsString();
}

std::optional<ClaimRecord> decodeClaimRecord(std::string_view bytes)
{
    request::ClaimRecord message;
    ClaimRecord record;
    if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        return std::nullopt;
    if (message.has_forgotten()) {
        record.kind = ClaimRecordKind::Forgotten;
        record.offset = message.forgotten().through_offset();
        return record;
    }
    auto id = wordFromBytes(message.claim_id());
    if (!id || !readKind(record, message))
        return std::nullopt;
    record.id = { *id };
    return record;
}

} // namespace plantainhold
