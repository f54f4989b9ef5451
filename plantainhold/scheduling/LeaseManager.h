// LeaseManager decides when one instance claims, renews or releases the lease of
// one shard, and whether the instance may command the shard's workers now. It
// does no I/O: the time and the records that were read are arguments.
//
// The duration of a lease counts from before its record was sent, and the owner's
// inactivity is measured only while the log can be read. So neither a paused
// process nor an outage of the log lets two instances consider themselves owner.
// Not thread-safe.
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

// Inputs of a lease decision that do not come from the log.
struct LeaseContext {
    // The rank of this instance among the candidates, 0 for the preferred one. The
    // current owner, which may have failed, is not a candidate.
    std::size_t rank = 0;
    // The instance that a release names as its successor.
    std::string successor;
    bool isReleasing = false;
    bool hasCommandsInFlight = false;
};

class LeaseManager {
public:
    LeaseManager(std::string incarnation, const SchedulingTimes& times);

    // Reports that a read that started at startedAt reached the end of the log.
    void logRead(TimePoint startedAt);
    // Reports that a read of the log failed.
    void logReadFailed();
    // Reports that a lease record was read. `state` is the lease after the record.
    void leaseRecordRead(const std::string& recordId, bool tookEffect, const ShardLeaseState& state, TimePoint now);

    // Reports that this instance no longer knows which commands it sent under its
    // own epoch. They count as commands of a former owner.
    void localStateLost(TimePoint now);

    // Returns the record to append now, if any. The proposal counts as sent at `now`.
    std::optional<LeaseProposal> propose(const ShardLeaseState& state, const LeaseContext& context, TimePoint now);

    // Whether this instance owns the shard according to the log as read so far.
    bool isOwner(const ShardLeaseState& state) const;
    // Whether a command that needs the lease may be sent now.
    bool mayCommand(const ShardLeaseState& state, TimePoint now) const;
    // Whether the leases of running attempts may be renewed now; this is possible
    // for a time without the log (SchedulingTimes::renewWithoutLog).
    bool mayRenew(const ShardLeaseState& state, TimePoint now) const;

    // The time at which the newest successful claim of this instance was read back.
    TimePoint ownedSince() const { return m_ownedSince; }
    // The time at which the last former owner was found to be gone. Meaningful only
    // while the lease lists no former owners.
    TimePoint formerOwnersGoneAt() const { return m_formerOwnersGoneAt; }
    const std::string& incarnation() const { return m_incarnation; }

private:
    // Lets tests serialize the private state.
    friend class StateDigest;

    struct SentProposal {
        std::string recordId;
        TimePoint sentAt;
        LeaseProposalKind kind;
    };

    bool isUnchangedFor(Duration duration) const;
    bool mayClaim(const ShardLeaseState& state, const LeaseContext& context) const;
    LeaseProposal makeProposal(LeaseProposalKind kind, const ShardLeaseState& state, TimePoint now);

    std::string m_incarnation;
    SchedulingTimes m_times;
    // Proposals that were not read back yet. The lease of one that is read back late
    // still counts from the time at which it was sent.
    std::vector<SentProposal> m_sent;
    std::uint64_t m_proposals = 0;
    TimePoint m_lastProposal;
    TimePoint m_lastRenewal;
    TimePoint m_validUntil;
    bool m_hasProposedRelease = false;
    TimePoint m_ownedSince;
    TimePoint m_formerOwnersGoneAt;
    bool m_hasFormerOwners = true;
    // The start of the period in which the log was read without a gap; empty after a
    // failed read.
    std::optional<TimePoint> m_readableSince;
    // The start of the newest read that reached the end of the log.
    TimePoint m_lastCompleteReadAt;
    TimePoint m_lastLeaseChange;
};

} // namespace plantainhold
