// What the log says about one task.
#pragma once

#include "plantainhold/ports/Resources.h"

#include <cstdint>
#include <string>

namespace plantainhold {

enum class TaskPhase : std::uint8_t {
    Waiting,
    // An attempt may exist on its worker; its resources are reserved.
    Assigned,
    Completed,
    Failed,
    Cancelled,
    Impossible,
    // Passed on to the next shard, which follows it from there.
    Moved,
};

constexpr bool isEnded(TaskPhase phase)
{
    return phase > TaskPhase::Assigned;
}

struct TaskDescription {
    std::string id;
    std::string team;
    std::string profile;
    std::string command;
    Resources resources;
    bool isService = false;
    bool isUrgent = false;
    std::uint32_t expectedMs = 0;

    bool operator==(const TaskDescription&) const = default;
};

struct TaskEntry {
    TaskDescription description;
    TaskPhase phase = TaskPhase::Waiting;
    // Place in the order of submission.
    std::uint64_t order = 0;
    // Place in the order of ends; 0 while the task has not ended.
    std::uint64_t endedOrder = 0;
    // Number of the newest attempt; 0 before the first.
    std::uint32_t attempt = 0;
    // The worker of the live attempt; empty when there is none.
    std::string worker;
    // The worker's incarnation when the attempt was assigned.
    std::string workerIncarnation;
    // The worker of the attempt before.
    std::string previousWorker;
    Resources reserved;
    // Newest confirmed checkpoint, in percent.
    std::uint32_t checkpoint = 0;
    std::uint32_t failures = 0;
    bool isCancelRequested = false;
    // How many shards have passed the task on before this one.
    std::uint32_t hops = 0;
    // Passed on, and the next shard is not known to have it yet.
    bool isArrivalUnconfirmed = false;
    std::string detail;

    bool operator==(const TaskEntry&) const = default;
};

} // namespace plantainhold
