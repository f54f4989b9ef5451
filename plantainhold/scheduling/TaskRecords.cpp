// Fills each kind of record field by field; the ids of all of them are made here.

#include "plantainhold/scheduling/TaskRecords.h"

#include "plantainhold/proto/task.pb.h"
#include "plantainhold/scheduling/LeaseManager.h"
#include "plantainhold/scheduling/TaskMessages.h"
#include "plantainhold/scheduling/WorkerTracker.h"

namespace plantainhold {

namespace {

    task::EndReason reasonOf(AttemptState state)
    {
        switch (state) {
        case AttemptState::Completed:
            return task::END_REASON_COMPLETED;
        case AttemptState::Failed:
            return task::END_REASON_FAILED;
        case AttemptState::Stopped:
            return task::END_REASON_EVICTED;
        default:
            return task::END_REASON_LAPSED;
        }
    }

    std::string textOf(const AttemptId& id)
    {
        return id.task + "-" + std::to_string(id.attempt);
    }

} // namespace

task::TaskRecord leaseRecord(const LeaseProposal& proposal, const std::string& incarnation, Milliseconds duration)
{
    task::TaskRecord record;
    record.set_id(proposal.recordId);
    record.set_epoch(proposal.epoch);
    task::ShardLease* lease = record.mutable_lease();
    lease->set_epoch(proposal.epoch);
    lease->set_owner(incarnation);
    lease->set_base_sequence(proposal.baseSequence);
    lease->set_duration_ms(static_cast<std::uint32_t>(duration.count()));
    lease->set_is_renewal(proposal.kind == LeaseProposalKind::Renewal);
    lease->set_is_release(proposal.kind == LeaseProposalKind::Release);
    lease->set_successor(proposal.successor);
    lease->set_former_owners_gone(proposal.areFormerOwnersGone);
    return record;
}

task::TaskRecord endRecord(const AttemptId& id, const AttemptEndProof& proof, bool isFinal)
{
    task::TaskRecord record;
    record.set_id("end-" + textOf(id));
    task::AttemptEnded* ended = record.mutable_ended();
    ended->set_task(id.task);
    ended->set_attempt(id.attempt);
    ended->set_reason(reasonOf(proof.state));
    ended->set_detail(proof.detail);
    ended->set_checkpoint(proof.checkpoint);
    ended->set_is_final(isFinal);
    return record;
}

task::TaskRecord checkpointRecord(const AttemptId& id, std::uint32_t percent)
{
    task::TaskRecord record;
    record.set_id("checkpoint-" + textOf(id) + "-" + std::to_string(percent));
    record.mutable_checkpointed()->set_task(id.task);
    record.mutable_checkpointed()->set_attempt(id.attempt);
    record.mutable_checkpointed()->set_checkpoint(percent);
    return record;
}

task::TaskRecord assignmentRecord(const TaskEntry& entry, const PlacementPlan::TaskPlacement& placement, const WorkerTracker& worker)
{
    AttemptId id { placement.task, entry.attempt + 1 };
    task::TaskRecord record;
    record.set_id("assign-" + textOf(id) + "-" + placement.worker);
    task::Assigned* assigned = record.mutable_assigned();
    assigned->set_task(id.task);
    assigned->set_attempt(id.attempt);
    assigned->set_worker(placement.worker);
    assigned->set_worker_incarnation(worker.incarnation());
    fillResources(*assigned->mutable_reserved(), placement.reserved);
    fillResources(*assigned->mutable_capacity(), worker.capacity());
    assigned->set_from_checkpoint(entry.checkpoint);
    return record;
}

task::TaskRecord refusalRecord(const TaskEntry& entry, const std::string& reason)
{
    const std::string& task = entry.description.id;
    task::TaskRecord record;
    record.set_id("impossible-" + task);
    record.mutable_ended()->set_task(task);
    record.mutable_ended()->set_attempt(entry.attempt);
    record.mutable_ended()->set_reason(task::END_REASON_IMPOSSIBLE);
    record.mutable_ended()->set_detail(reason);
    return record;
}

task::TaskRecord moveRecord(const std::string& task)
{
    task::TaskRecord record;
    record.set_id("move-" + task);
    record.mutable_moved_on()->set_task(task);
    return record;
}

task::TaskRecord arrivalRecord(const std::string& task)
{
    task::TaskRecord record;
    record.set_id("arrived-" + task);
    record.mutable_arrived()->set_task(task);
    return record;
}

task::TaskRecord forwardedRecord(const TaskEntry& entry)
{
    task::TaskRecord record;
    record.set_id("passed-on-" + entry.description.id);
    fillSpec(*record.mutable_submitted()->mutable_spec(), entry.description);
    record.mutable_submitted()->set_hops(entry.hops + 1);
    return record;
}

std::string subjectOf(const task::TaskRecord& record)
{
    switch (record.kind_case()) {
    case task::TaskRecord::kSubmitted:
        return record.submitted().spec().id();
    case task::TaskRecord::kAssigned:
        return record.assigned().task();
    case task::TaskRecord::kCheckpointed:
        return record.checkpointed().task();
    case task::TaskRecord::kEnded:
        return record.ended().task();
    case task::TaskRecord::kCancel:
        return record.cancel().task();
    case task::TaskRecord::kMovedOn:
        return record.moved_on().task();
    default:
        return {};
    }
}

AttemptState endStateOf(const task::TaskRecord& record)
{
    switch (record.ended().reason()) {
    case task::END_REASON_COMPLETED:
        return AttemptState::Completed;
    case task::END_REASON_FAILED:
        return AttemptState::Failed;
    case task::END_REASON_EVICTED:
        return AttemptState::Stopped;
    default:
        return AttemptState::Lapsed;
    }
}

} // namespace plantainhold
