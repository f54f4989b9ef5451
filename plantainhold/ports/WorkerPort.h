// Commands to workers, and what they report. Every command carries the sender's
// fencing token; the system stays safe when workers ignore it.
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
    // Newest durable checkpoint in percent of the work; 0 when there is none.
    std::uint32_t checkpoint = 0;
    Resources used;
    // Observed latency over unloaded latency in thousandths; services only.
    std::uint32_t slowdownMilli = 0;
    Milliseconds sampleAge { 0 };
    std::uint32_t throttlePercent = 100;
    std::uint32_t progress = 0;
    std::string failure;
};

struct WorkerDescription {
    Resources capacity;
    std::string rack;
    std::vector<AttemptReport> attempts;
    std::string incarnation;
};

struct StartCommand {
    AttemptId id;
    Resources reserved;
    Milliseconds lease { 0 };
    std::uint32_t fromCheckpoint = 0;
    std::string command;
    bool isService = false;
    Milliseconds expected { 0 };
};

enum class CommandStatus : std::uint8_t {
    Done,
    // The worker answered and did not do it.
    Refused,
    // Nothing is known: it may have been done, or may still be.
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

    // All calls block up to the implementation's timeout, never throw, and are thread-safe.
    virtual std::optional<WorkerDescription> describe(const WorkerAddress& worker, std::uint64_t fencingToken) = 0;
    virtual CommandOutcome start(const WorkerAddress& worker, std::uint64_t fencingToken, const StartCommand& command) = 0;
    virtual RenewOutcome renew(const WorkerAddress& worker, std::uint64_t fencingToken, std::span<const AttemptId> ids, Milliseconds lease) = 0;
    virtual CommandOutcome throttle(const WorkerAddress& worker, std::uint64_t fencingToken, const AttemptId& id, std::uint32_t percent) = 0;
    virtual CommandOutcome checkpoint(const WorkerAddress& worker, std::uint64_t fencingToken, const AttemptId& id) = 0;
    virtual CommandOutcome stop(const WorkerAddress& worker, std::uint64_t fencingToken, const AttemptId& id) = 0;
};

} // namespace plantainhold
