// Commands and report requests to executors, their results, and the batches that the scheduler stores.
#pragma once

#include "plantainhold/jobs/ExecutorReport.h"
#include "plantainhold/ports/Clock.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace plantainhold {

struct JobSpec;

enum class CommandKind : std::uint8_t { Start,
    Stop,
    Pace,
    // Request a report immediately, under a new fencing token.
    Fence };

struct ExecutorCommand {
    CommandKind kind = CommandKind::Start;
    std::string executor;
    TaskName task;
    std::uint32_t run = 0;
    // Start only: the spec with the payload, and the checkpoint to resume from.
    std::shared_ptr<const JobSpec> spec;
    std::string checkpoint;
    // Start only, on a queue that needs advice.
    std::string ticket;
    // Pace only.
    std::uint32_t percent = 100;
};

enum class CommandResult : std::uint8_t { Accepted,
    // The executor has seen a newer token: another owner's, or our own over another connection.
    Fenced,
    // That run, or a later one of the task, has already ended there.
    Superseded,
    // The deadline had passed when the command arrived.
    TooLate,
    InsufficientCapacity,
    NoTicket,
    // The command is malformed.
    Invalid,
    // The executor is unhealthy, or the command was certainly not sent. It had no effect.
    Unavailable,
    // Another incarnation of the executor responded.
    OtherIncarnation,
    // No response: the command may have been carried out, or may be carried out later.
    Unknown };

constexpr std::string_view nameOf(CommandResult outcome)
{
    constexpr std::string_view s_names[] = { "accepted", "fenced", "superseded", "too_late", "no_room", "no_ticket", "invalid", "unavailable", "other_incarnation", "unknown" };
    return s_names[static_cast<std::size_t>(outcome)];
}

// An executor's response to a command.
struct CommandResponse {
    CommandResult outcome = CommandResult::Unknown;
    // The executor's clock when it handled the command; unset without a response that shows it.
    std::optional<std::int64_t> clockMs;
};

// The result of a call to an executor, and where and when the call was sent. An executor may have
// moved or restarted between the call and its result.
struct CallResult {
    CommandResult outcome = CommandResult::Unknown;
    std::string_view address;
    TimePoint sentAt {};
    std::optional<std::int64_t> clockMs;
};

struct ReportRequest {
    std::uint64_t token = 0;
    std::uint64_t ackCursor = 0;
    // End of the lease on the executor's clock; unset while that clock is not known.
    std::optional<std::int64_t> deadlineMs;
    std::int64_t waitMs = 0;
};

// Records to be stored together, and what may happen once they are stored.
struct CommitBatch {
    // Encoded progress by job id, or by key of a part of it; an empty value removes the record. The record of the
    // term comes first, since what it says of leases must be known with the starts that rest on them.
    std::vector<std::pair<std::string, std::string>> progress;
    // Finished jobs whose records are to be deleted: first the submission, then the progress. A
    // submission without progress would be taken for a job that has not run.
    std::vector<std::string> droppedJobs;

    struct Start {
        TaskName task;
        std::uint32_t run = 0;
    };
    std::vector<Start> starts;
    struct Acknowledgement {
        std::string executor;
        std::int64_t startedUnixMs = 0;
        std::uint64_t endNumber = 0;
    };
    std::vector<Acknowledgement> acknowledgements;

    bool isEmpty() const { return progress.empty() && droppedJobs.empty() && starts.empty() && acknowledgements.empty(); }
};

} // namespace plantainhold
