// CommandQueue decides which command an executor is sent next. Stops come before everything else
// and have calls of their own, so that no command that has to wait, such as a start while the list
// of executors is out of date, delays the end of a cancelled run.
#pragma once

#include "plantainhold/jobs/ExecutorCommand.h"

#include <cstddef>
#include <deque>
#include <optional>

namespace plantainhold {

class CommandQueue {
public:
    // Adds a command behind those of its kind. No method of this class is thread-safe.
    void push(ExecutorCommand command);
    // Removes the command to send now and counts it as in flight; std::nullopt if none is left or
    // the limit of calls at a time is reached. Each must be followed by finished().
    std::optional<ExecutorCommand> next();
    // Precondition: next() returned a command of this kind that has not finished yet.
    void finished(CommandKind kind);
    // Number of commands that are queued or in flight.
    std::size_t size() const;

private:
    // Commands of one class and how many of them are in flight.
    struct Lane {
        std::deque<ExecutorCommand> queue;
        std::size_t inFlight = 0;
    };

    Lane& laneOf(CommandKind kind) { return kind == CommandKind::Stop ? m_stops : m_others; }
    static std::optional<ExecutorCommand> nextOf(Lane& lane);

    Lane m_stops;
    Lane m_others;
};

} // namespace plantainhold
