// Builds the records of a shard stream, and says what a record means for its task. Ids
// are derived from the content, so that the same decision always has the same record.
#pragma once

#include "plantainhold/scheduling/AttemptTracker.h"
#include "plantainhold/scheduling/PlacementPolicy.h"
#include "plantainhold/scheduling/TaskEntry.h"

#include <cstdint>
#include <string>

namespace plantainhold {

class WorkerTracker;
struct LeaseProposal;

namespace task {
    class TaskRecord;
} // namespace task

// All functions are thread-safe. Those that build a record leave its epoch to the caller,
// except leaseRecord(), whose epoch is the proposed one.

// Returns a claim, a renewal or a release of the shard's lease by that incarnation of an instance.
task::TaskRecord leaseRecord(const LeaseProposal& proposal, const std::string& incarnation, Milliseconds duration);
// A final end is one after which the task does not run again.
task::TaskRecord endRecord(const AttemptId& id, const AttemptEndProof& proof, bool isFinal);
task::TaskRecord checkpointRecord(const AttemptId& id, std::uint32_t percent);
// Assigns the task's next attempt. Precondition: the entry is of the placed task, the worker is the chosen one.
task::TaskRecord assignmentRecord(const TaskEntry& entry, const PlacementPlan::TaskPlacement& placement, const WorkerTracker& worker);
// Ends a waiting task that no worker can ever run.
task::TaskRecord refusalRecord(const TaskEntry& entry, const std::string& reason);
// Says that the task leaves for the next shard.
task::TaskRecord moveRecord(const std::string& task);
// Says that the next shard has the task.
task::TaskRecord arrivalRecord(const std::string& task);
// Submits a moved task to the next shard.
task::TaskRecord forwardedRecord(const TaskEntry& entry);

// Returns the id of the task that a record concerns, or an empty string if it concerns none.
std::string subjectOf(const task::TaskRecord& record);
// Returns how the attempt ended. Meaningful only if the record ends an attempt.
AttemptState endStateOf(const task::TaskRecord& record);

} // namespace plantainhold
