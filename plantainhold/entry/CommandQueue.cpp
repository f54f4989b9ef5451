#include "plantainhold/entry/CommandQueue.h"

#include <utility>

namespace plantainhold {

namespace {

    // Calls of one lane to one executor at a time.
    constexpr std::size_t s_maxInFlight = 3;

} // namespace

void CommandQueue::push(ExecutorCommand command)
{
    laneOf(command.kind).queue.push_back(std::move(command));
}

std::optional<ExecutorCommand> CommandQueue::nextOf(Lane& lane)
{
    if (lane.queue.empty() || lane.inFlight >= s_maxInFlight)
        return std::nullopt;
    ExecutorCommand command = std::move(lane.queue.front());
    lane.queue.pop_front();
    ++lane.inFlight;
    return command;
}

std::optional<ExecutorCommand> CommandQueue::next()
{
    std::optional<ExecutorCommand> stop = nextOf(m_stops);
    return stop ? std::move(stop) : nextOf(m_others);
}

void CommandQueue::finished(CommandKind kind)
{
    --laneOf(kind).inFlight;
}

std::size_t CommandQueue::size() const
{
    return m_stops.queue.size() + m_stops.inFlight + m_others.queue.size() + m_others.inFlight;
}

} // namespace plantainhold
