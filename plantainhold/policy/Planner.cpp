// Forwards the planner's interface to its state.

#include "plantainhold/policy/Planner.h"

#include "plantainhold/policy/PlannerState.h"

namespace plantainhold {

Planner::Planner(const PlannerOptions& options)
    : m_state(std::make_unique<State>(options))
{
}

Planner::~Planner() = default;

void Planner::workerUpdated(const WorkerObservation& observation, TimePoint now)
{
    m_state->workerUpdated(observation, now);
}

void Planner::workerRemoved(std::string_view worker, TimePoint)
{
    m_state->workerRemoved(worker);
}

void Planner::teamUpdated(const TeamShare& share)
{
    m_state->teams().setShare(share);
}

void Planner::taskWaiting(const TaskRequest& request, TimePoint now)
{
    m_state->taskWaiting(request, now);
}

void Planner::taskRemoved(std::string_view task)
{
    m_state->taskRemoved(std::string(task));
}

void Planner::attemptStarted(const AttemptId& id, const TaskRequest& request, std::string_view worker, const Resources& reserved, TimePoint now)
{
    m_state->attemptStarted(id, request, worker, reserved, now);
}

void Planner::placementFailed(std::string_view task, TimePoint now)
{
    m_state->placementFailed(std::string(task), now);
}

void Planner::attemptEnded(const AttemptId& id, AttemptState state, TimePoint now)
{
    AttemptReport last;
    last.id = id;
    last.state = state;
    m_state->attemptEnded(last, now);
}

void Planner::attemptEnded(const AttemptReport& last, TimePoint now)
{
    m_state->attemptEnded(last, now);
}

void Planner::sample(const AttemptReport& report, TimePoint now)
{
    m_state->sample(report, now);
}

Plan Planner::plan(TimePoint now)
{
    return m_state->plan(now);
}

std::size_t Planner::waitingTasks() const
{
    return m_state->waitingTasks();
}

std::size_t Planner::runningTasks() const
{
    return m_state->runningTasks();
}

} // namespace plantainhold
