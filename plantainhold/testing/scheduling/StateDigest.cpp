// Times further away than any interval of the model are clamped, so that they compare equal.

#include "plantainhold/testing/scheduling/StateDigest.h"

#include <algorithm>

namespace plantainhold {

namespace {

    constexpr std::chrono::seconds s_horizon { 20 };

} // namespace

StateDigest::StateDigest(std::string& out, TimePoint now, std::uint64_t sequenceBase)
    : m_out(out)
    , m_now(now)
    , m_sequenceBase(sequenceBase)
{
}

void StateDigest::add(std::string_view text)
{
    m_out += text;
    m_out += ';';
}

void StateDigest::add(std::uint64_t number)
{
    m_out.append(reinterpret_cast<const char*>(&number), sizeof number);
}

void StateDigest::add(TimePoint time)
{
    Duration age = std::clamp<Duration>(m_now - time, -s_horizon, s_horizon);
    add(static_cast<std::uint64_t>(std::chrono::duration_cast<Milliseconds>(age).count()));
}

void StateDigest::add(const AttemptId& id)
{
    add(id.task);
    add(std::uint64_t(id.attempt));
}

void StateDigest::add(const ShardReducer& reducer)
{
    const ShardLeaseState& lease = reducer.lease();
    add(lease.epoch);
    add(lease.sequence - m_sequenceBase);
    add(lease.owner);
    add(std::uint64_t(lease.isReleased));
    add(lease.successor);
    for (const std::string& it : lease.formerOwners)
        add(it);
    for (const auto& [id, entry] : reducer.tasks()) {
        add(id);
        add(std::uint64_t(entry.phase));
        add(std::uint64_t(entry.attempt));
        add(entry.worker);
        add(entry.workerIncarnation);
        add(std::uint64_t(entry.checkpoint));
        add(std::uint64_t(entry.failures * 2 + entry.isCancelRequested));
    }
}

void StateDigest::add(const LeaseManager& manager)
{
    for (const auto& it : manager.m_sent) {
        add(it.sentAt);
        add(std::uint64_t(it.kind));
    }
    add(manager.m_lastProposal);
    add(manager.m_lastRenewal);
    add(manager.m_validUntil);
    add(std::uint64_t(manager.m_hasProposedRelease));
    add(manager.m_ownedSince);
    add(manager.m_formerOwnersGoneAt);
    add(std::uint64_t(manager.m_hasFormerOwners));
    add(manager.m_readableSince.value_or(TimePoint()));
    add(manager.m_lastCompleteReadAt);
    add(manager.m_lastLeaseChange);
}

void StateDigest::addProposal(const ShardController& controller, const std::string& recordId)
{
    const auto& sent = controller.m_leaseManager.m_sent;
    auto it = std::find_if(sent.begin(), sent.end(), [&](const auto& proposal) { return proposal.recordId == recordId; });
    add(it == sent.end() ? std::string("other") : std::to_string(it - sent.begin()));
}

void StateDigest::add(const AttemptTracker& attempt)
{
    add(attempt.lease.m_until);
    for (const auto& it : attempt.lease.m_unacknowledged) {
        add(it.sentBy);
        add(std::uint64_t(it.isStart));
    }
    add(std::uint64_t(attempt.isInherited | attempt.isStarted << 1 | attempt.isStartUncertain << 2 | attempt.isCheckpointRequested << 3));
    add(std::uint64_t(attempt.stopCause));
    add(std::uint64_t(attempt.report.checkpoint));
    add(std::uint64_t(attempt.proof ? static_cast<int>(attempt.proof->state) + 1 : 0));
    add(std::uint64_t(attempt.proof ? attempt.proof->checkpoint : 0));
}

void StateDigest::add(const WorkerTracker& worker)
{
    add(worker.m_incarnation);
    for (const AttemptId& it : worker.m_orphans)
        add(it);
    add(std::uint64_t(worker.m_isBusy | worker.m_isListed << 1 | worker.m_isLeaving << 2 | worker.m_isDescribed << 3));
    add(std::uint64_t(std::min(worker.m_failures, 1U)));
    add(worker.m_lastRenewal);
}

void StateDigest::add(const ShardController& controller)
{
    add(controller.m_reducer);
    add(controller.m_leaseManager);
    add(std::uint64_t(controller.m_isActive));
    for (const auto& [id, worker] : controller.m_driver.m_workers)
        add(worker);
    for (const auto& [id, attempt] : controller.m_driver.m_attempts) {
        add(id);
        add(attempt);
    }
    for (const auto& [id, at] : controller.m_pendingAppends.m_sent) {
        add(id);
        add(at);
    }
    for (const auto& [task, placement] : controller.m_tentative) {
        add(task);
        add(placement.worker);
        add(placement.sentAt);
    }
    add(std::uint64_t(controller.m_driver.m_checkpointed.size()));
}

} // namespace plantainhold
