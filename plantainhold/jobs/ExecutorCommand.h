// What the scheduler wants done, and the answers that it is told.
#pragma once

#include "plantainhold/jobs/ExecutorReport.h"

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
    // Ask for a report at once, under a new token.
    Fence };

struct ExecutorCommand {
    CommandKind kind = CommandKind::Start;
    std::string executor;
    TaskName task;
    std::uint32_t run = 0;
    // Start only: holds the payload, and where to resume from.
    std::shared_ptr<const JobSpec> spec;
    std::string checkpoint;
    // Start only, on a queue that needs advice.
    std::string ticket;
    // Pace only.
    std::uint32_t percent = 100;
};

enum class CommandResult : std::uint8_t { Accepted,
    // A newer token is there: another owner's, or our own on another connection.
    Fenced,
    // That run, or a later one, has ended there.
    Superseded,
    // Its deadline had passed on arrival.
    TooLate,
    InsufficientCapacity,
    NoTicket,
    // The order itself is wrong.
    Invalid,
    // The executor is unhealthy, or the order was certainly not sent; nothing was done.
    Unavailable,
    // Another life of the executor answered.
    OtherIncarnation,
    // No answer: it may have been done, or may be done later.
    Unknown };

constexpr std::string_view nameOf(CommandResult outcome)
{
    constexpr std::string_view s_names[] = { "accepted", "fenced", "superseded", "too_late", "no_room", "no_ticket", "invalid", "unavailable", "other_incarnation", "unknown" };
    return s_names[static_cast<std::size_t>(outcome)];
}

struct ReportRequest {
    std::uint64_t token = 0;
    std::uint64_t ackCursor = 0;
    // On the executor's clock; none while that is not known.
    std::optional<std::int64_t> deadlineMs;
    std::int64_t waitMs = 0;
};

// Records to be stored together, and what may happen once they are.
struct CommitBatch {
    // By job id; an empty value drops the key.
    std::vector<std::pair<std::string, std::string>> progress;
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

    bool isEmpty() const { return progress.empty() && starts.empty() && acknowledgements.empty(); }
};

} // namespace plantainhold
