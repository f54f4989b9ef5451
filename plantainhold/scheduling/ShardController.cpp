// Connects the reducer, the lease manager, the worker driver and the policy.

#include "plantainhold/scheduling/ShardController.h"

#include "plantainhold/proto/task.pb.h"
#include "plantainhold/scheduling/EvictionChoice.h"
#include "plantainhold/scheduling/TaskRecords.h"

#include <algorithm>
#include <array>
#include <utility>

namespace plantainhold {

namespace {

    // The number of failures after which a task is not run again.
    constexpr std::uint32_t s_failureLimit = 3;
    // Limits the work of one decision in a shard that has just lost its workers.
    constexpr std::size_t s_movesPerDecision = 256;

    EventId eventOf(TaskPhase phase)
    {
        switch (phase) {
        case TaskPhase::Waiting:
            return EventId::TaskWaitsAgain;
        case TaskPhase::Impossible:
            return EventId::TaskRefused;
        case TaskPhase::Moved:
            return EventId::TaskMoved;
        default:
            return EventId::TaskEnded;
        }
    }

    const char* nameOf(TaskPhase phase)
    {
        static constexpr std::array<const char*, 7> s_names { "waiting", "assigned", "completed", "failed", "cancelled", "impossible", "moved" };
        return s_names[static_cast<std::size_t>(phase)];
    }

} // namespace

ShardController::ShardController(std::string incarnation, const SchedulingTimes& times, const StrategySet& strategies, PlacementPolicy& policy, const ReducerLimits& limits)
    : m_times(times)
    , m_strategies(strategies)
    , m_policy(&policy)
    , m_limits(limits)
    , m_reducer(limits, strategies)
    , m_leaseManager(std::move(incarnation), times)
    , m_driver(times, strategies)
    , m_pendingAppends(times.recordRetry)
{
}

void ShardController::restore(ShardState state, TimePoint now)
{
    std::uint64_t epochBefore = m_reducer.lease().epoch;
    bool wasOwner = isOwner();
    m_reducer = ShardReducer(std::move(state), m_limits, m_strategies);
    m_leaseManager.leaseRecordRead({}, true, m_reducer.lease(), now);
    m_leaseManager.localStateLost(now);
    m_driver.endEpoch();
    m_isActive = false;
    ownershipMayHaveChanged(epochBefore, wasOwner, now);
}

void ShardController::recordRead(std::uint64_t offset, const task::TaskRecord& record, TimePoint now)
{
    std::string subject = subjectOf(record);
    const TaskEntry* before = subject.empty() ? nullptr : m_reducer.find(subject);
    TaskPhase phaseBefore = before ? before->phase : TaskPhase::Completed;
    std::uint32_t attemptBefore = before ? before->attempt : 0;
    std::uint64_t epochBefore = m_reducer.lease().epoch;
    bool wasOwner = isOwner();

    bool tookEffect = m_reducer.apply(offset, record);
    m_pendingAppends.confirm(record.id());
    bool isLeaseRecord = record.has_lease() || record.has_owner_gone() || record.has_reset();
    if (isLeaseRecord) {
        m_leaseManager.leaseRecordRead(record.id(), tookEffect, m_reducer.lease(), now);
        ownershipMayHaveChanged(epochBefore, wasOwner, now);
    }
    if (!subject.empty() && m_isActive)
        taskChanged(subject, phaseBefore, attemptBefore, endStateOf(record), now);
}

void ShardController::ownershipMayHaveChanged(std::uint64_t epochBefore, bool wasOwner, TimePoint now)
{
    const ShardLeaseState& lease = m_reducer.lease();
    bool isNewEpoch = lease.epoch != epochBefore;
    if (isOwner() && (!wasOwner || isNewEpoch || !m_isActive)) {
        m_isActive = true;
        m_tentative.clear();
        m_pendingAppends.clear();
        m_driver.beginEpoch(m_reducer);
        replayStateToPolicy(now);
        m_notes.push_back({ EventId::ShardTaken, {}, { { "epoch", std::to_string(lease.epoch) }, { "live_attempts", std::to_string(m_driver.attempts().size()) }, { "former_owners", std::to_string(lease.formerOwners.size()) } } });
    } else if (!isOwner() && m_isActive) {
        m_isActive = false;
        m_tentative.clear();
        m_driver.endEpoch();
        m_notes.push_back({ lease.owner == m_leaseManager.incarnation() ? EventId::ShardReleased : EventId::ShardLost, {}, { { "epoch", std::to_string(lease.epoch) }, { "owner", lease.owner } } });
    }
}

void ShardController::replayStateToPolicy(TimePoint now)
{
    m_policy->ownershipStarted();
    for (const auto& [id, entry] : m_reducer.tasks()) {
        if (entry.phase == TaskPhase::Assigned)
            m_policy->attemptAssigned(entry, now);
    }
    for (const WaitingKey& it : m_reducer.waiting())
        m_policy->taskWaiting(*m_reducer.find(it.task), now);
}

void ShardController::taskChanged(const std::string& task, TaskPhase phaseBefore, std::uint32_t attemptBefore, AttemptState endState, TimePoint now)
{
    AttemptReport last;
    if (auto it = m_driver.attempts().find({ task, attemptBefore }); it != m_driver.attempts().end())
        last = it->second.report;
    last.id = { task, attemptBefore };
    last.state = endState;
    m_driver.taskChanged(task, m_reducer);
    const TaskEntry* entry = m_reducer.find(task);
    auto tentative = m_tentative.find(task);
    bool isResolved = tentative != m_tentative.end() && (!entry || entry->phase != TaskPhase::Waiting || entry->attempt >= tentative->second.attempt);
    std::string reason = tentative == m_tentative.end() ? std::string() : tentative->second.reason;
    if (isResolved)
        m_tentative.erase(tentative);
    TaskPhase phase = entry ? entry->phase : TaskPhase::Completed;
    if (phase == phaseBefore && (!entry || entry->attempt == attemptBefore))
        return;
    if (phaseBefore == TaskPhase::Assigned)
        m_policy->attemptEnded(last, now);
    else if (phaseBefore == TaskPhase::Waiting && phase != TaskPhase::Assigned)
        m_policy->taskRemoved(task);
    if (!entry)
        return;
    if (phase == TaskPhase::Assigned) {
        m_policy->attemptAssigned(*entry, now);
        noteTask(EventId::TaskAssigned, *entry, reason);
        return;
    }
    if (phase == TaskPhase::Waiting)
        m_policy->taskWaiting(*entry, now);
    if (phase != TaskPhase::Waiting || attemptBefore > 0)
        noteTask(eventOf(phase), *entry, entry->detail);
}

void ShardController::noteTask(EventId event, const TaskEntry& entry, std::string reason)
{
    DecisionNote note { event, entry.description.id, { { "task", entry.description.id }, { "attempt", std::to_string(entry.attempt) } } };
    if (!entry.worker.empty())
        note.fields.push_back({ "worker", entry.worker });
    note.fields.push_back({ "phase", nameOf(entry.phase) });
    note.fields.push_back({ "checkpoint", std::to_string(entry.checkpoint) });
    if (!reason.empty())
        note.fields.push_back({ "reason", std::move(reason) });
    m_notes.push_back(std::move(note));
}

void ShardController::setWorkerList(std::span<const Instance> workers)
{
    m_hasWorkerList = true;
    m_driver.setWorkerList(workers, m_reducer);
}

std::vector<ShardRecord> ShardController::decide(const LeaseContext& context, TimePoint now)
{
    std::vector<ShardRecord> records;
    appendLease(context, now, records);
    if (!isOwner())
        return records;
    m_driver.checkLeaseExpiry(m_reducer, inheritedUntil(), now);
    appendEnds(now, records);
    appendCheckpoints(now, records);
    appendArrivals(now, records);
    if (mayCommand(now) && !context.isReleasing)
        appendPlan(now, records);
    return records;
}

TimePoint ShardController::inheritedUntil() const
{
    const ShardLeaseState& lease = m_reducer.lease();
    TimePoint lastCommand = lease.formerOwners.empty() ? m_leaseManager.formerOwnersGoneAt() : m_leaseManager.ownedSince() + m_times.renewWithoutLog;
    return std::max(lastCommand, m_leaseManager.ownedSince()) + m_times.commandLifetime + m_times.taskLease;
}

void ShardController::appendLease(const LeaseContext& context, TimePoint now, std::vector<ShardRecord>& records)
{
    LeaseContext fullContext = context;
    fullContext.hasCommandsInFlight = m_driver.hasCommandsInFlight();
    std::optional<LeaseProposal> proposal = m_leaseManager.propose(m_reducer.lease(), fullContext, now);
    if (!proposal)
        return;
    task::TaskRecord record = leaseRecord(*proposal, m_leaseManager.incarnation(), m_times.shardLease);
    records.push_back({ record.id(), record.SerializeAsString() });
}

void ShardController::appendEnds(TimePoint now, std::vector<ShardRecord>& records)
{
    for (const AttemptId& id : m_driver.endedAttempts()) {
        const AttemptEndProof& proof = *m_driver.attempts().at(id).proof;
        const TaskEntry* entry = m_reducer.find(id.task);
        bool isFinal = proof.state == AttemptState::Failed && entry->failures + 1 >= s_failureLimit;
        append(endRecord(id, proof, isFinal), now, records);
    }
}

void ShardController::appendCheckpoints(TimePoint now, std::vector<ShardRecord>& records)
{
    for (const AttemptId& id : m_driver.checkpointed())
        append(checkpointRecord(id, m_driver.attempts().at(id).report.checkpoint), now, records);
}

void ShardController::appendPlan(TimePoint now, std::vector<ShardRecord>& records)
{
    dropOldPlacements(now);
    evictExcess();
    appendMoves(now, records);
    bool isWorkerViewComplete = m_driver.areAllDescribed() && now - m_leaseManager.ownedSince() >= m_times.settleTime;
    ShardView view { m_reducer, m_driver.workers(), m_driver.attempts(), m_tentative, isWorkerViewComplete };
    PlacementPlan plan = m_policy->plan(view, now);
    for (const PlacementPlan::TaskPlacement& it : plan.placements)
        appendPlacement(it, now, records);
    for (const PlacementPlan::Throttling& it : plan.throttles) {
        m_driver.throttle(it.attempt, it.percent);
        if (const TaskEntry* entry = m_reducer.find(it.attempt.task))
            noteTask(EventId::TaskSlowed, *entry, it.reason);
    }
    for (const AttemptId& it : plan.checkpoints)
        m_driver.checkpoint(it);
    for (const PlacementPlan::Eviction& it : plan.evictions)
        evict(it.attempt, it.reason);
    for (const PlacementPlan::Refusal& it : plan.impossible)
        appendRefusal(it, now, records);
    m_notes.insert(m_notes.end(), plan.notes.begin(), plan.notes.end());
}

void ShardController::appendPlacement(const PlacementPlan::TaskPlacement& placement, TimePoint now, std::vector<ShardRecord>& records)
{
    const TaskEntry* entry = m_reducer.find(placement.task);
    auto worker = m_driver.workers().find(placement.worker);
    bool isPossible = entry && entry->phase == TaskPhase::Waiting && !m_tentative.contains(placement.task) && worker != m_driver.workers().end() && worker->second.isSchedulable();
    if (!isPossible)
        return m_policy->placementFailed(placement.task, now);
    m_tentative[placement.task] = { placement.worker, placement.reserved, entry->attempt + 1, placement.reason, now };
    append(assignmentRecord(*entry, placement, worker->second), now, records);
}

void ShardController::appendRefusal(const PlacementPlan::Refusal& refusal, TimePoint now, std::vector<ShardRecord>& records)
{
    const TaskEntry* entry = m_reducer.find(refusal.task);
    if (!entry || entry->phase != TaskPhase::Waiting)
        return;
    if (mayMove(*entry))
        return append(moveRecord(refusal.task), now, records);
    append(refusalRecord(*entry, refusal.reason), now, records);
}

// A shard without workers forwards its waiting tasks. A shard with workers keeps
// its tasks until the policy finds that no worker of the shard can ever run them.
void ShardController::appendMoves(TimePoint now, std::vector<ShardRecord>& records)
{
    bool isEmpty = m_hasWorkerList && m_driver.workers().empty() && now - m_leaseManager.ownedSince() >= m_times.settleTime;
    if (!isEmpty)
        return;
    std::size_t moved = 0;
    for (const WaitingKey& it : m_reducer.waiting()) {
        const TaskEntry& entry = *m_reducer.find(it.task);
        if (!mayMove(entry))
            continue;
        if (++moved > s_movesPerDecision)
            return;
        append(moveRecord(it.task), now, records);
    }
}

bool ShardController::mayMove(const TaskEntry& entry) const
{
    bool isFresh = entry.attempt == 0 && !entry.isCancelRequested && !m_tentative.contains(entry.description.id);
    return isFresh && entry.hops + 1 < m_shardCount && m_strategies.uses(Strategy::MoveOn);
}

void ShardController::appendArrivals(TimePoint now, std::vector<ShardRecord>& records)
{
    std::erase_if(m_arrivals, [this](const std::string& it) { return !m_reducer.departing().contains(it); });
    for (const std::string& it : m_arrivals)
        append(arrivalRecord(it), now, records);
}

void ShardController::evict(const AttemptId& id, const std::string& reason)
{
    auto it = m_driver.attempts().find(id);
    if (it == m_driver.attempts().end() || it->second.stopCause != StopCause::None || it->second.proof)
        return;
    m_driver.evict(id, reason);
    noteTask(EventId::EvictionStarted, *m_reducer.find(id.task), reason);
}

void ShardController::evictExcess()
{
    ShardView view { m_reducer, m_driver.workers(), m_driver.attempts(), m_tentative, false };
    for (const auto& [name, account] : m_reducer.ledger().accounts()) {
        auto worker = m_driver.workers().find(name);
        if (worker == m_driver.workers().end() || !worker->second.isResponsive())
            continue;
        Resources excess = account.reserved - resourcesBeingFreed(view, name) - worker->second.capacity();
        if (worker->second.isLeaving()) {
            for (const std::string& it : account.tasks)
                evict({ it, m_reducer.find(it)->attempt }, "its worker is leaving");
        } else if (!excess.fitsIn({})) {
            for (const AttemptId& it : chooseEvictions(view, name, excess, true).victims)
                evict(it, "its worker has shrunk");
        }
    }
}

void ShardController::dropOldPlacements(TimePoint now)
{
    std::vector<std::string> dropped;
    for (const auto& [task, placement] : m_tentative) {
        if (now - placement.sentAt >= m_times.recordRetry)
            dropped.push_back(task);
    }
    // The record may still be appended late. The log then decides between it and a
    // placement that was proposed instead.
    for (const std::string& it : dropped) {
        m_tentative.erase(it);
        m_policy->placementFailed(it, now);
    }
}

void ShardController::append(task::TaskRecord record, TimePoint now, std::vector<ShardRecord>& records)
{
    std::uint64_t epoch = m_reducer.lease().epoch;
    record.set_id(record.id() + "-" + std::to_string(epoch));
    record.set_epoch(epoch);
    if (m_pendingAppends.shouldAppend(record.id(), now))
        records.push_back({ record.id(), record.SerializeAsString() });
}

CommandPermissions ShardController::permissions(TimePoint now) const
{
    const ShardLeaseState& lease = m_reducer.lease();
    bool isUnchecked = !m_strategies.uses(Strategy::LeaseCheckBeforeCommand) && isOwner();
    return { lease.epoch, m_leaseManager.mayCommand(lease, now) || isUnchecked, m_leaseManager.mayRenew(lease, now) || isUnchecked };
}

std::optional<WorkerCommand> ShardController::nextCommand(const std::string& worker, TimePoint now)
{
    return m_driver.nextCommand(worker, permissions(now), m_reducer, now);
}

bool ShardController::maySend(const WorkerCommand& command, TimePoint now) const
{
    if (!m_strategies.uses(Strategy::LeaseCheckBeforeCommand))
        return true;
    bool needsLease = command.kind != WorkerCommandKind::Describe && command.kind != WorkerCommandKind::Renew;
    CommandPermissions current = permissions(now);
    return command.epoch == current.epoch && (needsLease ? current.mayCommand : current.mayRenew);
}

void ShardController::commandCompleted(const WorkerCommand& command, const WorkerCommandResult& result, TimePoint now)
{
    WorkerCondition before = conditionOf(command.address.worker);
    m_driver.commandCompleted(command, result, permissions(now), m_reducer, now);
    if (!m_isActive)
        return;
    noteWorker(command.address.worker, before);
    for (const AttemptReport& it : result.reports) {
        if (m_driver.attempts().contains(it.id))
            m_policy->reportReceived(it, now);
    }
}

ShardController::WorkerCondition ShardController::conditionOf(const std::string& worker) const
{
    auto it = m_driver.workers().find(worker);
    if (it == m_driver.workers().end())
        return {};
    return { it->second.failures() > 0, !it->second.orphans().empty() };
}

void ShardController::noteWorker(const std::string& worker, const WorkerCondition& before)
{
    WorkerCondition now = conditionOf(worker);
    if (now.hasOrphans && !before.hasOrphans)
        m_notes.push_back({ EventId::OrphansFound, {}, { { "worker", worker } } });
    if (!now.isUnresponsive || before.isUnresponsive)
        return;
    m_notes.push_back({ EventId::WorkerSilent, {}, { { "worker", worker } } });
    for (const auto& [id, attempt] : m_driver.attempts()) {
        const TaskEntry* entry = m_reducer.find(id.task);
        if (entry && entry->worker == worker && entry->attempt == id.attempt)
            noteTask(EventId::WorkerSilent, *entry, "it can start elsewhere only after its lease there must have expired");
    }
}

std::vector<DecisionNote> ShardController::takeNotes()
{
    return std::exchange(m_notes, {});
}

} // namespace plantainhold
