// Decides what one instance proposes about one shard's lease, and whether it may
// command the shard's workers now. Pure: time and what was read come in as
// arguments. A right counts from before the record that grants it was sent, and
// another's silence counts only while the log could be read, so that neither a
// pause nor an outage makes two instances believe in the same right.
#pragma once

#include "plantainhold/scheduling/SchedulingTimes.h"
#include "plantainhold/scheduling/ShardLeaseState.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace plantainhold {

enum class LeaseProposalKind : std::uint8_t {
    Claim,
    Renewal,
    Release,
};

struct LeaseProposal {
    LeaseProposalKind kind = LeaseProposalKind::Claim;
    std::string recordId;
    std::uint64_t epoch = 0;
    std::uint64_t baseSequence = 0;
    std::string successor;
    bool areFormerOwnersGone = false;
};

// What the decision needs to know besides the log.
struct LeaseContext {
    // This instance's place among the candidates, 0 for the preferred one. The
    // owner that may be dead is no candidate.
    std::size_t rank = 0;
    // Whom a release should name.
    std::string successor;
    bool isReleasing = false;
    bool hasCommandsInFlight = false;
};

class LeaseManager {
public:
    LeaseManager(std::string incarnation, const SchedulingTimes& times);

    // The log was read to its end by a read that began at startedAt. Not thread-safe, as all here.
    void logRead(TimePoint startedAt);
    // The log did not answer.
    void logReadFailed();
    // A lease record was read; state is what the shard's lease is after it.
    void leaseRecordRead(const std::string& recordId, bool tookEffect, const ShardLeaseState& state, TimePoint now);

    // What this instance sent under its own epoch is no longer known: it counts as a former owner's.
    void localStateLost(TimePoint now);

    // What to append now, if anything. The proposal counts as sent at `now`.
    std::optional<LeaseProposal> propose(const ShardLeaseState& state, const LeaseContext& context, TimePoint now);

    // Whether the shard is this instance's by the log, as far as it was read.
    bool isOwner(const ShardLeaseState& state) const;
    // Whether a command that needs the lease may be sent now.
    bool mayCommand(const ShardLeaseState& state, TimePoint now) const;
    // Whether what already runs may be renewed now, also without the log.
    bool mayRenew(const ShardLeaseState& state, TimePoint now) const;

    // When the newest claim of this instance was read back.
    TimePoint ownedSince() const { return m_ownedSince; }
    // When the last former owner was known to be gone; only meaningful while none is left.
    TimePoint formerOwnersGoneAt() const { return m_formerOwnersGoneAt; }
    const std::string& incarnation() const { return m_incarnation; }

private:
    // Tests tell states apart through it.
    friend class StateDigest;

    struct SentProposal {
        std::string recordId;
        TimePoint sentAt;
        LeaseProposalKind kind;
    };

    bool isUnchangedFor(Duration patience) const;
    bool mayClaim(const ShardLeaseState& state, const LeaseContext& context) const;
    LeaseProposal makeProposal(LeaseProposalKind kind, const ShardLeaseState& state, TimePoint now);

    std::string m_incarnation;
    SchedulingTimes m_times;
    // Proposals whose fate was not read yet; a late one still counts from when it was sent.
    std::vector<SentProposal> m_sent;
    std::uint64_t m_proposals = 0;
    TimePoint m_lastProposal;
    TimePoint m_lastRenewal;
    TimePoint m_validUntil;
    bool m_hasProposedRelease = false;
    TimePoint m_ownedSince;
    TimePoint m_formerOwnersGoneAt;
    bool m_hasFormerOwners = true;
    // Since when the log was read without a gap, and the newest read that reached its end.
    std::optional<TimePoint> m_readableSince;
    TimePoint m_lastCompleteReadAt;
    TimePoint m_lastLeaseChange;
};

} // namespace plantainhold
