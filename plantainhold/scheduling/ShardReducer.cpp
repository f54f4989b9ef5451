// Applies each kind of record to the shard's state.

#include "plantainhold/scheduling/ShardReducer.h"

#include "plantainhold/proto/task.pb.h"
#include "plantainhold/scheduling/TaskMessages.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace plantainhold {

namespace {

    constexpr std::size_t s_formerOwnerLimit = 32;
    // Placeholder for former owners whose names are no longer known.
    constexpr char s_unknownOwner = '*';

    TaskPhase phaseAfter(const task::AttemptEnded& ended, const TaskEntry& entry)
    {
        if (ended.reason() == task::END_REASON_COMPLETED)
            return TaskPhase::Completed;
        if (ended.reason() == task::END_REASON_FAILED && ended.is_final())
            return TaskPhase::Failed;
        return entry.isCancelRequested ? TaskPhase::Cancelled : TaskPhase::Waiting;
    }

    WaitingKey keyOf(const TaskEntry& entry)
    {
        const TaskDescription& task = entry.description;
        std::uint8_t rank = task.isUrgent ? 0 : (task.isService ? 1 : 2);
        return { rank, entry.order, task.id };
    }

    void removeInstance(std::vector<std::string>& owners, std::string_view instance)
    {
        std::erase_if(owners, [&](const std::string& it) { return instanceIdOf(it) == instance; });
    }

} // namespace

ShardReducer::ShardReducer(const ReducerLimits& limits, const StrategySet& strategies)
    : m_limits(limits)
    , m_strategies(strategies)
    , m_endedIds(limits.endedIds)
{
}

ShardReducer::ShardReducer(ShardState state, const ReducerLimits& limits, const StrategySet& strategies)
    : m_limits(limits)
    , m_strategies(strategies)
    , m_state(std::move(state))
    , m_endedIds(limits.endedIds)
{
    rebuildIndexes();
}

bool ShardReducer::apply(std::uint64_t offset, const task::TaskRecord& record)
{
    switch (record.kind_case()) {
    case task::TaskRecord::kLease:
        return applyLease(record);
    case task::TaskRecord::kOwnerGone:
        return applyOwnerGone(record);
    case task::TaskRecord::kReset:
        return applyReset(offset);
    case task::TaskRecord::kSubmitted:
        return applySubmitted(record);
    case task::TaskRecord::kAssigned:
        return applyAssigned(record);
    case task::TaskRecord::kCheckpointed:
        return applyCheckpointed(record);
    case task::TaskRecord::kEnded:
        return applyEnded(record);
    case task::TaskRecord::kCancel:
        return applyCancel(record);
    case task::TaskRecord::kMovedOn:
        return applyMovedOn(record);
    case task::TaskRecord::kArrived:
        return applyArrived(record);
    default:
        return false;
    }
}

const TaskEntry* ShardReducer::find(const std::string& task) const
{
    auto it = m_state.tasks.find(task);
    return it == m_state.tasks.end() ? nullptr : &it->second;
}

ShardState ShardReducer::snapshot() const
{
    ShardState state = m_state;
    state.endedIds = m_endedIds.hashes();
    return state;
}

bool ShardReducer::applyLease(const task::TaskRecord& record)
{
    const task::ShardLease& lease = record.lease();
    ShardLeaseState& state = m_state.lease;
    // A lease record is void unless it is based on the newest one. This is the
    // compare-and-set operation that the log itself does not provide.
    bool isBasedOnNewest = lease.base_sequence() == state.sequence;
    if (!isBasedOnNewest && m_strategies.uses(Strategy::LeaseBaseSequence))
        return false;
    bool isFromOwner = lease.epoch() == state.epoch && lease.owner() == state.owner && !state.isReleased;
    bool isClaim = !lease.is_renewal() && !lease.is_release();
    if (!isClaim && !isFromOwner)
        return false;
    if (isClaim && lease.epoch() != state.epoch + 1 && m_strategies.uses(Strategy::LeaseBaseSequence))
        return false;
    ++state.sequence;
    if (isClaim)
        applyClaim(lease.owner());
    state.epoch = lease.epoch();
    state.isReleased = lease.is_release();
    state.successor = lease.is_release() ? lease.successor() : std::string();
    if (lease.former_owners_gone())
        state.formerOwners.clear();
    return true;
}

void ShardReducer::applyClaim(const std::string& claimant)
{
    ShardLeaseState& state = m_state.lease;
    bool mayStillRenew = !state.isReleased && !state.owner.empty();
    if (mayStillRenew && state.formerOwners.size() < s_formerOwnerLimit)
        state.formerOwners.push_back(state.owner);
    else if (mayStillRenew)
        state.formerOwners.back().assign(1, s_unknownOwner);
    // A new process under the same instance id proves that the earlier process has ended.
    removeInstance(state.formerOwners, instanceIdOf(claimant));
    state.owner = claimant;
}

bool ShardReducer::applyOwnerGone(const task::TaskRecord& record)
{
    const std::string& gone = record.owner_gone().owner();
    ShardLeaseState& state = m_state.lease;
    bool wasFormer = std::erase(state.formerOwners, gone) > 0;
    if (state.owner != gone || state.isReleased)
        return wasFormer;
    ++state.sequence;
    state.isReleased = true;
    state.successor = record.owner_gone().successor();
    return true;
}

bool ShardReducer::applyReset(std::uint64_t offset)
{
    *this = ShardReducer(m_limits, m_strategies);
    // Each epoch and each sequence number used at least one offset, so this value
    // exceeds all that were lost.
    m_state.lease.epoch = offset + 1;
    m_state.lease.sequence = offset + 1;
    m_state.lease.formerOwners.emplace_back(1, s_unknownOwner);
    return true;
}

bool ShardReducer::applySubmitted(const task::TaskRecord& record)
{
    const task::TaskSpec& spec = record.submitted().spec();
    if (find(spec.id()) || m_endedIds.contains(spec.id()) || liveTasks() >= m_limits.liveTasks)
        return false;
    TaskEntry& entry = m_state.tasks[spec.id()];
    entry.description = toDescription(spec);
    entry.hops = record.submitted().hops();
    entry.order = m_state.nextOrder++;
    startWaiting(entry);
    return true;
}

bool ShardReducer::applyAssigned(const task::TaskRecord& record)
{
    const task::Assigned& assigned = record.assigned();
    TaskEntry* entry = findMutable(assigned.task());
    if (record.epoch() != m_state.lease.epoch || !entry)
        return false;
    if (entry->phase != TaskPhase::Waiting || assigned.attempt() != entry->attempt + 1)
        return false;
    Resources reserved = toResources(assigned.reserved());
    if (!m_strategies.uses(Strategy::CapacityInLog))
        m_ledger.restore(assigned.worker(), assigned.task(), reserved);
    else if (!m_ledger.reserve(assigned.worker(), assigned.task(), reserved, toResources(assigned.capacity())))
        return false;
    m_waiting.erase(keyOf(*entry));
    entry->phase = TaskPhase::Assigned;
    entry->attempt = assigned.attempt();
    entry->worker = assigned.worker();
    entry->workerIncarnation = assigned.worker_incarnation();
    entry->reserved = reserved;
    entry->detail.clear();
    return true;
}

bool ShardReducer::applyCheckpointed(const task::TaskRecord& record)
{
    const task::Checkpointed& checkpointed = record.checkpointed();
    TaskEntry* entry = findMutable(checkpointed.task());
    if (record.epoch() != m_state.lease.epoch || !entry)
        return false;
    bool isLive = entry->phase == TaskPhase::Assigned && entry->attempt == checkpointed.attempt();
    if (!isLive || checkpointed.checkpoint() <= entry->checkpoint)
        return false;
    entry->checkpoint = checkpointed.checkpoint();
    return true;
}

bool ShardReducer::applyEnded(const task::TaskRecord& record)
{
    const task::AttemptEnded& ended = record.ended();
    TaskEntry* entry = findMutable(ended.task());
    if (record.epoch() != m_state.lease.epoch || !entry || entry->attempt != ended.attempt())
        return false;
    bool isImpossible = ended.reason() == task::END_REASON_IMPOSSIBLE;
    if (entry->phase != (isImpossible ? TaskPhase::Waiting : TaskPhase::Assigned))
        return false;
    entry->detail = ended.detail();
    if (isImpossible) {
        end(*entry, TaskPhase::Impossible);
        return true;
    }
    m_ledger.release(entry->worker, ended.task(), entry->reserved);
    entry->reserved = {};
    entry->previousWorker = std::exchange(entry->worker, {});
    entry->workerIncarnation.clear();
    entry->checkpoint = std::max(entry->checkpoint, ended.checkpoint());
    if (ended.reason() == task::END_REASON_FAILED)
        ++entry->failures;
    TaskPhase phase = phaseAfter(ended, *entry);
    if (phase == TaskPhase::Waiting)
        startWaiting(*entry);
    else
        end(*entry, phase);
    return true;
}

bool ShardReducer::applyCancel(const task::TaskRecord& record)
{
    TaskEntry* entry = findMutable(record.cancel().task());
    if (!entry || entry->isCancelRequested || isEnded(entry->phase))
        return false;
    entry->isCancelRequested = true;
    if (entry->phase == TaskPhase::Waiting)
        end(*entry, TaskPhase::Cancelled);
    return true;
}

bool ShardReducer::applyMovedOn(const task::TaskRecord& record)
{
    TaskEntry* entry = findMutable(record.moved_on().task());
    if (record.epoch() != m_state.lease.epoch || !entry || entry->phase != TaskPhase::Waiting)
        return false;
    // A task that has run is not forwarded, so that one shard counts its attempts and
    // knows its checkpoint.
    if (entry->attempt > 0 || entry->isCancelRequested)
        return false;
    entry->isArrivalUnconfirmed = true;
    m_departing.insert(entry->description.id);
    end(*entry, TaskPhase::Moved);
    return true;
}

bool ShardReducer::applyArrived(const task::TaskRecord& record)
{
    TaskEntry* entry = findMutable(record.arrived().task());
    if (record.epoch() != m_state.lease.epoch || !entry || !entry->isArrivalUnconfirmed)
        return false;
    entry->isArrivalUnconfirmed = false;
    m_departing.erase(entry->description.id);
    forgetOldest();
    return true;
}

void ShardReducer::startWaiting(TaskEntry& entry)
{
    entry.phase = TaskPhase::Waiting;
    m_waiting.insert(keyOf(entry));
}

void ShardReducer::end(TaskEntry& entry, TaskPhase phase)
{
    m_waiting.erase(keyOf(entry));
    entry.phase = phase;
    entry.endedOrder = m_state.nextOrder++;
    m_ended.push_back(entry.description.id);
    forgetOldest();
}

void ShardReducer::forgetOldest()
{
    // A task that the next shard may not have yet must not be removed, nor may tasks that ended after it.
    while (m_ended.size() > m_limits.endedTasks && !m_departing.contains(m_ended.front())) {
        m_endedIds.add(m_ended.front());
        m_state.tasks.erase(m_ended.front());
        m_ended.pop_front();
    }
}

void ShardReducer::rebuildIndexes()
{
    std::map<std::uint64_t, std::string> ended;
    for (auto& [id, entry] : m_state.tasks) {
        if (entry.phase == TaskPhase::Waiting)
            m_waiting.insert(keyOf(entry));
        else if (entry.phase == TaskPhase::Assigned)
            m_ledger.restore(entry.worker, id, entry.reserved);
        else
            ended.emplace(entry.endedOrder, id);
        if (entry.isArrivalUnconfirmed)
            m_departing.insert(id);
    }
    for (auto& [order, id] : ended)
        m_ended.push_back(id);
    for (std::uint64_t it : m_state.endedIds)
        m_endedIds.addHash(it);
    m_state.endedIds.clear();
}

TaskEntry* ShardReducer::findMutable(const std::string& task)
{
    auto it = m_state.tasks.find(task);
    return it == m_state.tasks.end() ? nullptr : &it->second;
}

} // namespace plantainhold
