// The rules for claims, renewals and releases.

#include "plantainhold/scheduling/LeaseManager.h"

#include <algorithm>

namespace plantainhold {

namespace {

    constexpr std::size_t s_sentLimit = 8;
    // Renewals per lease duration, so that the loss of two does not lose the shard.
    constexpr int s_renewalsPerLease = 3;

} // namespace

LeaseManager::LeaseManager(std::string incarnation, const SchedulingTimes& times)
    : m_incarnation(std::move(incarnation))
    , m_times(times)
{
}

void LeaseManager::logRead(TimePoint startedAt)
{
    bool isGap = m_readableSince && startedAt - m_lastCompleteReadAt > m_times.maxReadGap;
    if (!m_readableSince || isGap)
        m_readableSince = startedAt;
    m_lastCompleteReadAt = startedAt;
}

void LeaseManager::logReadFailed()
{
    m_readableSince.reset();
}

void LeaseManager::leaseRecordRead(const std::string& recordId, bool tookEffect, const ShardLeaseState& state, TimePoint now)
{
    auto mine = std::find_if(m_sent.begin(), m_sent.end(), [&](const SentProposal& it) { return it.recordId == recordId; });
    bool isMine = mine != m_sent.end();
    if (tookEffect)
        m_lastLeaseChange = now;
    if (tookEffect && isMine && mine->kind == LeaseProposalKind::Claim) {
        m_ownedSince = now;
        m_hasProposedRelease = false;
        m_hasFormerOwners = true;
    }
    if (tookEffect && isMine && mine->kind != LeaseProposalKind::Release)
        m_validUntil = mine->sentAt + m_times.shardLease - m_times.margin;
    if (m_hasFormerOwners && state.formerOwners.empty())
        m_formerOwnersGoneAt = now;
    m_hasFormerOwners = !state.formerOwners.empty();
    if (isMine)
        m_sent.erase(mine);
}

void LeaseManager::localStateLost(TimePoint now)
{
    m_ownedSince = now;
    m_formerOwnersGoneAt = now;
}

std::optional<LeaseProposal> LeaseManager::propose(const ShardLeaseState& state, const LeaseContext& context, TimePoint now)
{
    bool isPending = !m_sent.empty() && now - m_lastProposal < m_times.recordRetry;
    if (isPending)
        return std::nullopt;
    if (!isOwner(state)) {
        if (context.isReleasing || !mayClaim(state, context))
            return std::nullopt;
        return makeProposal(LeaseProposalKind::Claim, state, now);
    }
    if (context.isReleasing && !context.hasCommandsInFlight) {
        // From here on this instance sends no more commands, whether or not the record takes effect.
        m_hasProposedRelease = true;
        LeaseProposal proposal = makeProposal(LeaseProposalKind::Release, state, now);
        proposal.successor = context.successor;
        return proposal;
    }
    if (m_hasProposedRelease || now - m_lastRenewal < m_times.shardLease / s_renewalsPerLease)
        return std::nullopt;
    LeaseProposal proposal = makeProposal(LeaseProposalKind::Renewal, state, now);
    Duration longest = m_times.renewWithoutLog + m_times.margin;
    proposal.areFormerOwnersGone = !state.formerOwners.empty() && now - m_ownedSince > longest;
    return proposal;
}

bool LeaseManager::isOwner(const ShardLeaseState& state) const
{
    return state.owner == m_incarnation && !state.isReleased;
}

bool LeaseManager::mayCommand(const ShardLeaseState& state, TimePoint now) const
{
    return isOwner(state) && !m_hasProposedRelease && now < m_validUntil;
}

bool LeaseManager::mayRenew(const ShardLeaseState& state, TimePoint now) const
{
    return isOwner(state) && !m_hasProposedRelease && now - m_lastCompleteReadAt < m_times.renewWithoutLog;
}

bool LeaseManager::isUnchangedFor(Duration duration) const
{
    if (!m_readableSince)
        return false;
    // Only up to the start of the newest complete read is it certain that the log had no further records.
    return m_lastCompleteReadAt - std::max(*m_readableSince, m_lastLeaseChange) >= duration;
}

bool LeaseManager::mayClaim(const ShardLeaseState& state, const LeaseContext& context) const
{
    if (!m_readableSince)
        return false;
    Duration stagger = m_times.rankStagger * static_cast<int>(context.rank);
    std::string_view self = instanceIdOf(m_incarnation);
    if (!state.isReleased) {
        bool isFormerSelf = instanceIdOf(state.owner) == self;
        return isFormerSelf || isUnchangedFor(m_times.shardLease + m_times.margin + stagger);
    }
    if (state.successor == self)
        return true;
    // The named successor has precedence. The other candidates claim only if it does not.
    Duration successorDelay = state.successor.empty() ? Duration::zero() : m_times.shardLease / s_renewalsPerLease;
    return isUnchangedFor(successorDelay + stagger);
}

LeaseProposal LeaseManager::makeProposal(LeaseProposalKind kind, const ShardLeaseState& state, TimePoint now)
{
    LeaseProposal proposal;
    proposal.kind = kind;
    proposal.recordId = m_incarnation + "-lease-" + std::to_string(++m_proposals);
    proposal.epoch = state.epoch + (kind == LeaseProposalKind::Claim ? 1 : 0);
    proposal.baseSequence = state.sequence;
    m_lastProposal = now;
    if (kind != LeaseProposalKind::Release)
        m_lastRenewal = now;
    m_sent.push_back({ proposal.recordId, now, kind });
    if (m_sent.size() > s_sentLimit)
        m_sent.erase(m_sent.begin());
    return proposal;
}

} // namespace plantainhold
