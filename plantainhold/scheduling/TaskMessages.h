// Converts between the protobuf messages of the shard streams and the types of the
// decision code.
#pragma once

#include "plantainhold/ports/Resources.h"
#include "plantainhold/scheduling/ShardReducer.h"
#include "plantainhold/scheduling/TaskEntry.h"

namespace plantainhold {

namespace platform {
    class Resources;
}
namespace task {
    class ShardSnapshot;
    class TaskSpec;
    class TaskState;
} // namespace task

// All functions are thread-safe.
Resources toResources(const platform::Resources& message);
void fillResources(platform::Resources& message, const Resources& resources);
TaskDescription toDescription(const task::TaskSpec& spec);
void fillSpec(task::TaskSpec& spec, const TaskDescription& description);
void fillState(task::TaskState& message, const TaskEntry& entry);

// Fills all fields of the snapshot except upto_offset, which the caller sets.
void fillSnapshot(task::ShardSnapshot& message, const ShardState& state);
ShardState toShardState(const task::ShardSnapshot& message);

} // namespace plantainhold
