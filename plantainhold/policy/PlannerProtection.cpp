// Protection of the services on each worker, in escalating steps: batch neighbours are
// throttled, then checkpointed, then evicted.

#include "plantainhold/policy/PlannerState.h"

#include <algorithm>
#include <cstdio>
#include <utility>

namespace plantainhold {

namespace {

    // A task that has been stalled this long may be evicted, so that it can run elsewhere.
    constexpr Milliseconds s_stallTimeout { 120'000 };
    // How much longer a stalled task is expected to remain stalled.
    constexpr double s_stallHorizonSeconds = 300;
    constexpr Milliseconds s_evictionRetryInterval { 20'000 };
    constexpr std::uint32_t s_checkpointBelowPercent = 30;
    constexpr Milliseconds s_checkpointInterval { 300'000 };

    std::string reasonOf(const SpeedDecision& decision)
    {
        if (!decision.service)
            return "the worker has no protected service any more";
        char text[96];
        std::snprintf(text, sizeof text, ": predicted slowdown at full speed %.2f, limit %.2f", decision.predictedSlowdown, decision.service->slowdownLimitMilli / 1000.0);
        return decision.service->id + text;
    }

} // namespace

void Planner::State::markDirty(WorkerSlot slot)
{
    if (slot >= m_isDirty.size())
        m_isDirty.resize(slot + std::size_t(1));
    if (m_isDirty[slot])
        return;
    m_isDirty[slot] = true;
    m_dirty.push_back(slot);
}

void Planner::State::steerWorkers(Plan& plan, TimePoint now)
{
    for (WorkerSlot slot : std::exchange(m_dirty, {})) {
        m_isDirty[slot] = false;
        steer(slot, plan, now);
    }
}

void Planner::State::steer(WorkerSlot slot, Plan& plan, TimePoint now)
{
    const FleetWorker& worker = m_fleet.worker(slot);
    // Speeds can only be set for attempts that are known to run, so the worker stays dirty
    // until all its attempts have started.
    if (std::any_of(worker.tasks.begin(), worker.tasks.end(), [](const PolicyTask* it) { return !it->attempt; }))
        return markDirty(slot);
    for (const SpeedDecision& it : m_guard.steer(slot, now)) {
        plan.actions.push_back({ PolicyActionKind::Throttle, { it.task->id, it.task->attempt }, worker.name, it.percent, EventId::TaskThrottled, reasonOf(it) });
        if (it.percent < s_checkpointBelowPercent)
            requestCheckpoint(*it.task, plan, now);
    }
    repeatEvictions(slot, plan, now);
    if (PolicyTask* worst = m_guard.highestPressureTask(slot, now))
        evict(*worst, EventId::TaskEvicted, "a service exceeds its objective even with all neighbours at minimum speed", plan, now);
    evictStalled(slot, plan, now);
}

void Planner::State::evictStalled(WorkerSlot slot, Plan& plan, TimePoint now)
{
    if (!m_queue.size())
        return;
    PolicyTask* longestStalled = nullptr;
    Milliseconds longest { 0 };
    for (PolicyTask* it : m_fleet.worker(slot).tasks) {
        // One eviction at a time, because the freed capacity changes the speeds of the other tasks.
        if (it->isEvicting)
            return;
        Milliseconds idle = m_guard.stalledFor(*it, now);
        if (idle >= s_stallTimeout && idle > longest && isWorthEvicting(*it, now)) {
            longestStalled = it;
            longest = idle;
        }
    }
    if (longestStalled)
        evict(*longestStalled, EventId::TaskEvicted, "the task is nearly stopped to protect a service while other tasks wait for capacity", plan, now);
}

bool Planner::State::isWorthEvicting(const PolicyTask& task, TimePoint now) const
{
    if (task.isService || task.isUrgent)
        return false;
    double idleShare = 1 - m_guard.speedOf(task) / 100.0;
    return m_evictionCost.of(task, now) < idleShare * task.busyCores * s_stallHorizonSeconds;
}

void Planner::State::requestCheckpoint(PolicyTask& task, Plan& plan, TimePoint now)
{
    if (task.isEvicting || now - task.checkpointRequestedAt < s_checkpointInterval)
        return;
    task.checkpointRequestedAt = now;
    plan.actions.push_back({ PolicyActionKind::Checkpoint, { task.id, task.attempt }, m_fleet.worker(task.worker).name, m_guard.speedOf(task), EventId::TaskCheckpointAsked, "the task runs so slowly that it may be evicted" });
}

void Planner::State::evict(PolicyTask& task, EventId event, std::string reason, Plan& plan, TimePoint now)
{
    task.isEvicting = true;
    task.evictionRequestedAt = now;
    plan.actions.push_back({ PolicyActionKind::Evict, { task.id, task.attempt }, m_fleet.worker(task.worker).name, m_guard.speedOf(task), event, std::move(reason) });
    markDirty(task.worker);
}

void Planner::State::repeatEvictions(WorkerSlot slot, Plan& plan, TimePoint now)
{
    for (PolicyTask* it : m_fleet.worker(slot).tasks) {
        if (it->isEvicting && now - it->evictionRequestedAt >= s_evictionRetryInterval)
            evict(*it, EventId::TaskEvicted, "an earlier eviction command has not taken effect", plan, now);
    }
}

} // namespace plantainhold
