// How the planner protects services on each worker: the ladder of slowing
// neighbours down, making their work durable, and evicting them.

#include "plantainhold/policy/PlannerState.h"

#include <algorithm>
#include <cstdio>
#include <utility>

namespace plantainhold {

namespace {

    // A task that has stood at an idle speed for so long may go elsewhere.
    constexpr Milliseconds s_stallTimeout { 120'000 };
    // How long a task that stands idle now is expected to stay so.
    constexpr double s_stallHorizonSeconds = 300;
    constexpr Milliseconds s_evictionRepeat { 20'000 };
    constexpr std::uint32_t s_checkpointBelowPercent = 30;
    constexpr Milliseconds s_checkpointInterval { 300'000 };

    std::string reasonOf(const SpeedDecision& decision)
    {
        if (!decision.service)
            return "no service is protected beside it any more";
        char text[96];
        std::snprintf(text, sizeof text, ": slowdown at full speed would be %.2f of %.2f", decision.predictedSlowdown, decision.service->slowdownLimitMilli / 1000.0);
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
    // Speeds are ordered of attempts that are known to run: the worker is looked at again once they are.
    if (std::any_of(worker.tasks.begin(), worker.tasks.end(), [](const PolicyTask* it) { return !it->attempt; }))
        return markDirty(slot);
    for (const SpeedDecision& it : m_guard.steer(slot, now)) {
        plan.actions.push_back({ PolicyActionKind::Throttle, { it.task->id, it.task->attempt }, worker.name, it.percent, EventId::TaskThrottled, reasonOf(it) });
        if (it.percent < s_checkpointBelowPercent)
            requestCheckpoint(*it.task, plan, now);
    }
    repeatEvictions(slot, plan, now);
    if (PolicyTask* worst = m_guard.highestPressureTask(slot, now))
        evict(*worst, EventId::TaskEvicted, "a service's objective is out of reach even with all neighbours at their least speed", plan, now);
    evictStalled(slot, plan, now);
}

void Planner::State::evictStalled(WorkerSlot slot, Plan& plan, TimePoint now)
{
    if (!m_queue.size())
        return;
    PolicyTask* longestStalled = nullptr;
    Milliseconds longest { 0 };
    for (PolicyTask* it : m_fleet.worker(slot).tasks) {
        // One at a time: the room that it leaves changes the speeds of the others.
        if (it->isEvicting)
            return;
        Milliseconds idle = m_guard.stalledFor(*it, now);
        if (idle >= s_stallTimeout && idle > longest && isWorthEvicting(*it, now)) {
            longestStalled = it;
            longest = idle;
        }
    }
    if (longestStalled)
        evict(*longestStalled, EventId::TaskEvicted, "it stands almost still beside a service while others wait for its room", plan, now);
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
    plan.actions.push_back({ PolicyActionKind::Checkpoint, { task.id, task.attempt }, m_fleet.worker(task.worker).name, m_guard.speedOf(task), EventId::TaskCheckpointAsked, "it runs so slowly that it may have to go" });
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
        if (it->isEvicting && now - it->evictionRequestedAt >= s_evictionRepeat)
            evict(*it, EventId::TaskEvicted, "its eviction has not taken effect", plan, now);
    }
}

} // namespace plantainhold
