// The reducer of one shard's stream.

#include "plantainhold/scheduling/ShardReducer.h"

#include "plantainhold/proto/task.pb.h"

namespace plantainhold {

namespace {

    TaskDescription describe(const task::TaskSpec& spec)
    {
        TaskDescription description;
        description.id = spec.id();
        description.team = spec.team();
        description.profile = spec.profile();
        description.command = spec.command();
        description.resources = { spec.resources().millicores(), spec.resources().memory_mib(), spec.resources().accelerators() };
        description.isService = spec.is_service();
        description.isUrgent = spec.urgent();
        description.expectedMs = spec.expected_ms();
        return description;
    }

    TaskPhase phaseAfter(task::EndReason reason, bool isCancelRequested)
    {
        switch (reason) {
        case task::END_REASON_COMPLETED:
            return TaskPhase::Completed;
        case task::END_REASON_FAILED:
            return TaskPhase::Failed;
        case task::END_REASON_IMPOSSIBLE:
            return TaskPhase::Impossible;
        case task::END_REASON_CANCELLED:
            return TaskPhase::Cancelled;
        default:
            return isCancelRequested ? TaskPhase::Cancelled : TaskPhase::Waiting;
        }
    }

} // namespace

bool ShardReducer::apply(const task::TaskRecord& record)
{
    if (!m_appliedIds.insert(record.id()).second)
        return false;
    switch (record.kind_case()) {
    case task::TaskRecord::kLease:
        return applyLease(record);
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
    default:
        return false;
    }
}

const TaskEntry* ShardReducer::find(const std::string& task) const
{
    auto it = m_tasks.find(task);
    return it == m_tasks.end() ? nullptr : &it->second;
}

bool ShardReducer::applyLease(const task::TaskRecord& record)
{
    const task::ShardLease& lease = record.lease();
    // A claim or renewal stands on the newest lease record or it is void: this is
    // the compare-and-set that the log itself does not have.
    if (lease.base_sequence() != m_lease.sequence)
        return false;
    bool isFromOwner = lease.epoch() == m_lease.epoch && lease.owner() == m_lease.owner;
    if (lease.is_renewal() || lease.is_release()) {
        if (!isFromOwner || m_lease.isReleased)
            return false;
    } else if (lease.epoch() != m_lease.epoch + 1) {
        return false;
    }
    m_lease = { lease.epoch(), m_lease.sequence + 1, lease.owner(), lease.is_release() };
    return true;
}

bool ShardReducer::applySubmitted(const task::TaskRecord& record)
{
    const task::TaskSpec& spec = record.submitted().spec();
    TaskEntry entry;
    entry.description = describe(spec);
    return m_tasks.emplace(spec.id(), std::move(entry)).second;
}

bool ShardReducer::applyAssigned(const task::TaskRecord& record)
{
    const task::Assigned& assigned = record.assigned();
    auto it = m_tasks.find(assigned.task());
    if (record.epoch() != m_lease.epoch || it == m_tasks.end())
        return false;
    TaskEntry& entry = it->second;
    bool isNext = entry.phase == TaskPhase::Waiting && assigned.attempt() == entry.attempt + 1;
    if (!isNext || entry.isCancelRequested)
        return false;
    entry.phase = TaskPhase::Assigned;
    entry.attempt = assigned.attempt();
    entry.worker = assigned.worker();
    entry.reserved = { assigned.reserved().millicores(), assigned.reserved().memory_mib(), assigned.reserved().accelerators() };
    return true;
}

bool ShardReducer::applyCheckpointed(const task::TaskRecord& record)
{
    const task::Checkpointed& checkpointed = record.checkpointed();
    TaskEntry* entry = liveAttempt(checkpointed.task(), checkpointed.attempt());
    if (record.epoch() != m_lease.epoch || !entry || checkpointed.checkpoint() <= entry->checkpoint)
        return false;
    entry->checkpoint = checkpointed.checkpoint();
    return true;
}

bool ShardReducer::applyEnded(const task::TaskRecord& record)
{
    const task::AttemptEnded& ended = record.ended();
    if (record.epoch() != m_lease.epoch)
        return false;
    auto it = m_tasks.find(ended.task());
    if (it == m_tasks.end() || it->second.attempt != ended.attempt())
        return false;
    TaskEntry& entry = it->second;
    bool endsAttempt = entry.phase == TaskPhase::Assigned;
    bool endsWaiting = entry.phase == TaskPhase::Waiting && (ended.reason() == task::END_REASON_CANCELLED || ended.reason() == task::END_REASON_IMPOSSIBLE);
    if (!endsAttempt && !endsWaiting)
        return false;
    entry.phase = phaseAfter(ended.reason(), entry.isCancelRequested);
    entry.detail = ended.detail();
    entry.reserved = {};
    entry.worker.clear();
    if (ended.checkpoint() > entry.checkpoint)
        entry.checkpoint = ended.checkpoint();
    return true;
}

bool ShardReducer::applyCancel(const task::TaskRecord& record)
{
    auto it = m_tasks.find(record.cancel().task());
    if (it == m_tasks.end() || it->second.isCancelRequested)
        return false;
    it->second.isCancelRequested = true;
    if (it->second.phase == TaskPhase::Waiting)
        it->second.phase = TaskPhase::Cancelled;
    return true;
}

TaskEntry* ShardReducer::liveAttempt(const std::string& task, std::uint32_t attempt)
{
    auto it = m_tasks.find(task);
    if (it == m_tasks.end() || it->second.attempt != attempt || it->second.phase != TaskPhase::Assigned)
        return nullptr;
    return &it->second;
}

} // namespace plantainhold
