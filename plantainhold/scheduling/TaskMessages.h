// Turns the messages of the shard streams into the types of the decisions and back.
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

// All are thread-safe.
Resources toResources(const platform::Resources& message);
void fillResources(platform::Resources& message, const Resources& resources);
TaskDescription toDescription(const task::TaskSpec& spec);
void fillSpec(task::TaskSpec& spec, const TaskDescription& description);
void fillState(task::TaskState& message, const TaskEntry& entry);

// The snapshot's offset is left for the caller to set.
void fillSnapshot(task::ShardSnapshot& message, const ShardState& state);
ShardState toShardState(const task::ShardSnapshot& message);

} // namespace plantainhold
