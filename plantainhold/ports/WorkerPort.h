// Commands to workers and their reports. Every command carries the sender's fencing
// token; safety does not depend on workers checking it.
#pragma once

#include "plantainhold/ports/Clock.h"
#include "plantainhold/ports/Resources.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace plantainhold {

struct AttemptId {
    std::string task;
    std::uint32_t attempt = 0;

    auto operator<=>(const AttemptId&) const = default;
};

enum class AttemptState : std::uint8_t {
    Unknown,
    Running,
    Completed,
    Failed,
    Stopped,
    Lapsed,
};

struct AttemptReport {
    AttemptId id;
    AttemptState state = AttemptState::Unknown;
    // Newest durable checkpoint in percent of the work; 0 if there is none.
    std::uint32_t checkpoint = 0;
    Resources used;
    // Ratio of observed to unloaded latency in thousandths; only set for services.
    std::uint32_t slowdownMilli = 0;
    // Time since the usage sample was taken.
    Milliseconds sampleAge { 0 };
    // Share of the reserved processors that the attempt may use.
    std::uint32_t throttlePercent = 100;
    // Share of the work that is done, in percent, as of the sample.
    std::uint32_t progress = 0;
    std::string failure;
};

struct WorkerDescription {
    Resources capacity;
    std::string rack;
    std::vector<AttemptReport> attempts;
    // Changes whenever the worker restarts with an empty memory.
    std::string incarnation;
};

struct StartCommand {
    AttemptId id;
    Resources reserved;
    Milliseconds lease { 0 };
    // Checkpoint to resume from, in percent; 0 starts from the beginning.
    std::uint32_t fromCheckpoint = 0;
    std::string command;
    bool isService = false;
    Milliseconds expected { 0 };
};

enum class CommandStatus : std::uint8_t {
    Done,
    // The worker responded and did not execute the command.
    Refused,
    // There was no usable response: the command may have been executed, or may still
    // be executed later.
    Unknown,
};

struct CommandOutcome {
    CommandStatus status = CommandStatus::Unknown;
    std::string refusal;
    AttemptReport report;
};

struct RenewOutcome {
    bool succeeded = false;
    std::vector<AttemptReport> attempts;
    std::string incarnation;
};

struct WorkerAddress {
    std::string worker;
    // IP:port.
    std::string address;
};

class WorkerPort {
public:
    virtual ~WorkerPort() = default;

    // Calls to one worker. All of them block up to the implementation's timeout, never
    // throw, and are thread-safe. describe() returns std::nullopt if the worker does not
    // respond.
    virtual std::optional<WorkerDescription> describe(const WorkerAddress& worker, std::uint64_t fencingToken) = 0;
    virtual CommandOutcome start(const WorkerAddress& worker, std::uint64_t fencingToken, const StartCommand& command) = 0;
    virtual RenewOutcome renew(const WorkerAddress& worker, std::uint64_t fencingToken, std::span<const AttemptId> ids, Milliseconds lease) = 0;
    virtual CommandOutcome throttle(const WorkerAddress& worker, std::uint64_t fencingToken, const AttemptId& id, std::uint32_t percent) = 0;
    virtual CommandOutcome checkpoint(const WorkerAddress& worker, std::uint64_t fencingToken, const AttemptId& id) = 0;
    virtual CommandOutcome stop(const WorkerAddress& worker, std::uint64_t fencingToken, const AttemptId& id) = 0;
};

} // namespace plantainhold
