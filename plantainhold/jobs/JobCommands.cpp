// The part of JobScheduler that prepares commands to executors and processes their results.

#include "plantainhold/jobs/ExecutorPort.h"
#include "plantainhold/jobs/JobScheduler.h"

#include <algorithm>

namespace plantainhold {

namespace {

    constexpr Milliseconds s_insufficientCapacityDelay { 300 };
    constexpr Milliseconds s_unavailableDelay { 1'000 };
    constexpr Milliseconds s_invalidDelay { 2'000 };

} // namespace

void JobScheduler::fence(ActiveExecutor& executor)
{
    if (executor.needsFence)
        return;
    executor.needsFence = true;
    m_commands.push_back({ CommandKind::Fence, executor.entry.id, {}, 0, nullptr, {}, {}, 0 });
}

std::optional<JobScheduler::SendParameters> JobScheduler::prepareSend(const ExecutorCommand& command, TimePoint now)
{
    auto found = m_executors.find(command.executor);
    if (found == m_executors.end())
        return std::nullopt;
    ActiveExecutor& executor = *found->second;
    if (command.kind != CommandKind::Start)
        return SendParameters { executor.token, 0 };
    auto it = m_jobs.find(command.task.job);
    ActiveTask* task = it == m_jobs.end() ? nullptr : it->second->find(command.task);
    if (!task || !task->run || task->run->number != command.run || task->run->executor != &executor)
        return std::nullopt;
    if (task->run->phase != RunPhase::Starting)
        return std::nullopt;
    // The capacity may have shrunk since the executor was chosen; what is being stopped still counts.
    bool hasRoom = executor.reserved.fitsIn(executor.entry.capacity);
    bool mayWork = executor.isListed && !executor.entry.isDraining && !executor.isEvacuated && executor.hasClock && !executor.mayTakeFormerCalls;
    if (task->run->isStopRequested || !mayWork || !hasRoom) {
        endRun(*task, now);
        return std::nullopt;
    }
    ++executor.startsInFlight;
    task->run->token = executor.token;
    task->run->sentAt = now;
    task->run->incarnation = executor.entry.startedUnixMs;
    task->run->unseenLeaseExpiresAt = longestLeaseFrom(now + ExecutorPort::s_callTimeout);
    return SendParameters { executor.token, extendLease(executor, now) };
}

void JobScheduler::commandFinished(const ExecutorCommand& command, const CallResult& result, TimePoint now)
{
    CommandResult outcome = result.outcome;
    auto found = m_executors.find(command.executor);
    if (found == m_executors.end())
        return;
    ActiveExecutor& executor = *found->second;
    bool isSameIncarnation = result.clockMs && fitsClock(executor, *result.clockMs, result.sentAt, now);
    if (isSameIncarnation)
        executor.heardAt = now;
    if (command.kind == CommandKind::Start && executor.startsInFlight) {
        --executor.startsInFlight;
        if (!isSameIncarnation)
            executor.uncertainStartAt = now;
    }
    if (outcome == CommandResult::OtherIncarnation)
        handleReplacement(executor, result, now);
    if (outcome == CommandResult::Fenced)
        fence(executor);
    auto it = m_jobs.find(command.task.job);
    ActiveTask* task = it == m_jobs.end() ? nullptr : it->second->find(command.task);
    if (!task || !task->run || task->run->number != command.run || task->run->executor != &executor)
        return;
    ActiveRun& run = *task->run;
    if (command.kind == CommandKind::Pace) {
        if (outcome != CommandResult::Accepted)
            run.sentPace = ActiveRun::s_unknownPace;
        return;
    }
    if (command.kind != CommandKind::Start || run.phase != RunPhase::Starting)
        return;
    run.sentTo = result.address;
    if (outcome == CommandResult::Accepted) {
        run.phase = RunPhase::Running;
        run.confirmedAt = now;
        if (isSameIncarnation) {
            run.unseenLeaseExpiresAt = {};
            noteSeen(run, now);
        }
        markStarted(task->step->job());
        run.progressedAt = now;
        return;
    }
    m_events.note(EventId::StartNotAccepted, { { "task", command.task.text() }, { "run", command.run }, { "executor", command.executor }, { "outcome", nameOf(outcome) }, { "ms", std::chrono::duration_cast<Milliseconds>(now - result.sentAt).count() } });
    if (outcome == CommandResult::Unknown || outcome == CommandResult::Fenced || outcome == CommandResult::Superseded) {
        ++m_counters.unknownStarts;
        run.phase = RunPhase::Unconfirmed;
        run.confirmedAt = now;
        fence(executor);
        return;
    }
    ++m_counters.rejectedStarts;
    Milliseconds delay = m_limits.retryDelay;
    if (outcome == CommandResult::InsufficientCapacity)
        executor.avoidedUntil = std::max(executor.avoidedUntil, now + s_insufficientCapacityDelay);
    if (outcome == CommandResult::Unavailable)
        executor.avoidedUntil = std::max(executor.avoidedUntil, now + s_unavailableDelay);
    // The ticket had expired or was issued for another incarnation of the executor.
    if (outcome == CommandResult::NoTicket)
        task->step->advice.ticketRejected(executor.entry.id);
    if (outcome == CommandResult::Invalid)
        delay = s_invalidDelay;
    task->avoided = &executor;
    task->notBefore = now + delay;
    wakeAt(task->notBefore);
    endRun(*task, now);
}

} // namespace plantainhold
