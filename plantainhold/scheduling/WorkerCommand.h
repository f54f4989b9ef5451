// A command to one worker and its result.
#pragma once

#include "plantainhold/ports/WorkerPort.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace plantainhold {

enum class WorkerCommandKind : std::uint8_t {
    Describe,
    Start,
    Renew,
    Throttle,
    Checkpoint,
    Stop,
};

struct WorkerCommand {
    WorkerCommandKind kind = WorkerCommandKind::Describe;
    WorkerAddress address;
    // The fencing token, which is the epoch of the shard's owner.
    std::uint64_t epoch = 0;
    // The attempts that a renewal names. The other kinds name one attempt or none.
    std::vector<AttemptId> ids;
    StartCommand start;
    Milliseconds lease { 0 };
    std::uint32_t throttlePercent = 100;
};

struct WorkerCommandResult {
    // False if the outcome is unknown: the command may have been executed or may still be.
    bool hasResponse = false;
    // The worker executed the command. Meaningless for a description or a renewal.
    bool isDone = false;
    std::string refusal;
    std::vector<AttemptReport> reports;
    std::optional<WorkerDescription> description;
    std::string incarnation;
};

} // namespace plantainhold
