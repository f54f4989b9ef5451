// Copies field by field, so that a change of a message affects only this file.

#include "plantainhold/scheduling/TaskMessages.h"

#include "plantainhold/proto/task.pb.h"

namespace plantainhold {

namespace {

    TaskEntry toEntry(const task::TaskState& message)
    {
        TaskEntry entry;
        entry.description = toDescription(message.spec());
        entry.phase = static_cast<TaskPhase>(message.phase());
        entry.order = message.order();
        entry.endedOrder = message.ended_order();
        entry.attempt = message.attempt();
        entry.worker = message.worker();
        entry.workerIncarnation = message.worker_incarnation();
        entry.previousWorker = message.last_worker();
        entry.reserved = toResources(message.reserved());
        entry.checkpoint = message.checkpoint();
        entry.failures = message.failures();
        entry.isCancelRequested = message.cancel_requested();
        entry.detail = message.detail();
        entry.hops = message.hops();
        entry.isArrivalUnconfirmed = message.is_arrival_open();
        return entry;
    }

} // namespace

Resources toResources(const platform::Resources& message)
{
    return { message.millicores(), message.memory_mib(), message.accelerators() };
}

void fillResources(platform::Resources& message, const Resources& resources)
{
    message.set_millicores(resources.millicores);
    message.set_memory_mib(resources.memoryMib);
    message.set_accelerators(resources.accelerators);
}

TaskDescription toDescription(const task::TaskSpec& spec)
{
    TaskDescription description;
    description.id = spec.id();
    description.team = spec.team();
    description.profile = spec.profile();
    description.command = spec.command();
    description.resources = toResources(spec.resources());
    description.isService = spec.is_service();
    description.isUrgent = spec.urgent();
    description.expectedMs = spec.expected_ms();
    return description;
}

void fillSpec(task::TaskSpec& spec, const TaskDescription& description)
{
    spec.set_id(description.id);
    spec.set_team(description.team);
    spec.set_profile(description.profile);
    spec.set_command(description.command);
    fillResources(*spec.mutable_resources(), description.resources);
    spec.set_is_service(description.isService);
    spec.set_urgent(description.isUrgent);
    spec.set_expected_ms(description.expectedMs);
}

void fillState(task::TaskState& message, const TaskEntry& entry)
{
    fillSpec(*message.mutable_spec(), entry.description);
    message.set_phase(static_cast<std::uint32_t>(entry.phase));
    message.set_order(entry.order);
    message.set_ended_order(entry.endedOrder);
    message.set_attempt(entry.attempt);
    message.set_worker(entry.worker);
    message.set_worker_incarnation(entry.workerIncarnation);
    message.set_last_worker(entry.previousWorker);
    fillResources(*message.mutable_reserved(), entry.reserved);
    message.set_checkpoint(entry.checkpoint);
    message.set_failures(entry.failures);
    message.set_cancel_requested(entry.isCancelRequested);
    message.set_detail(entry.detail);
    message.set_hops(entry.hops);
    message.set_is_arrival_open(entry.isArrivalUnconfirmed);
}

void fillSnapshot(task::ShardSnapshot& message, const ShardState& state)
{
    message.set_lease_sequence(state.lease.sequence);
    message.set_epoch(state.lease.epoch);
    message.set_owner(state.lease.owner);
    message.set_is_released(state.lease.isReleased);
    message.set_successor(state.lease.successor);
    for (const std::string& it : state.lease.formerOwners)
        message.add_former_owners(it);
    message.set_next_order(state.nextOrder);
    for (const auto& [id, entry] : state.tasks)
        fillState(*message.add_tasks(), entry);
    for (std::uint64_t it : state.endedIds)
        message.add_ended_ids(it);
}

ShardState toShardState(const task::ShardSnapshot& message)
{
    ShardState state;
    state.lease.sequence = message.lease_sequence();
    state.lease.epoch = message.epoch();
    state.lease.owner = message.owner();
    state.lease.isReleased = message.is_released();
    state.lease.successor = message.successor();
    state.lease.formerOwners.assign(message.former_owners().begin(), message.former_owners().end());
    state.nextOrder = message.next_order();
    for (const task::TaskState& it : message.tasks())
        state.tasks.emplace(it.spec().id(), toEntry(it));
    state.endedIds.assign(message.ended_ids().begin(), message.ended_ids().end());
    return state;
}

} // namespace plantainhold
