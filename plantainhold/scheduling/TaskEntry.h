// TaskEntry is the state of one task as recorded in the log.
#pragma once

#include "plantainhold/ports/Resources.h"

#include <cstdint>
#include <string>

namespace plantainhold {

enum class TaskPhase : std::uint8_t {
    Waiting,
    // An attempt may run on the assigned worker, and its resources are reserved.
    Assigned,
    Completed,
    Failed,
    Cancelled,
    Impossible,
    // Forwarded to the next shard, which is responsible for the task from then on.
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
    // Position in the order of submission.
    std::uint64_t order = 0;
    // Position in the order in which tasks ended; 0 while the task has not ended.
    std::uint64_t endedOrder = 0;
    // The number of the newest attempt; 0 before the first.
    std::uint32_t attempt = 0;
    // The worker of the live attempt, or empty if there is none.
    std::string worker;
    // The worker's incarnation when the attempt was assigned.
    std::string workerIncarnation;
    // The worker of the previous attempt.
    std::string previousWorker;
    Resources reserved;
    // Newest confirmed checkpoint, in percent.
    std::uint32_t checkpoint = 0;
    std::uint32_t failures = 0;
    bool isCancelRequested = false;
    // The number of shards that forwarded the task before it reached this one.
    std::uint32_t hops = 0;
    // The task was forwarded, and its arrival in the next shard is not confirmed yet.
    bool isArrivalUnconfirmed = false;
    std::string detail;

    bool operator==(const TaskEntry&) const = default;
};

} // namespace plantainhold
