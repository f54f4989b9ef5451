// The planner's events: updates of its task records and of the learned statistics.

#include "plantainhold/policy/PlannerState.h"

#include <algorithm>
#include <utility>

namespace plantainhold {

namespace {

    constexpr std::size_t s_kindLimit = 1024;
    // Use above this share of the reservation may have been limited by the reservation.
    constexpr double s_exhaustedShare = 0.99;
    constexpr std::uint32_t s_minPercentToLearn = 10;
    constexpr std::uint32_t s_samplesToTrust = 4;
    // If this many of the s_samplesToTrust samples used up the reservation, the task would use more.
    constexpr std::uint32_t s_minExhaustedSamples = 3;
    constexpr std::uint32_t s_useSmoothing = 8;
    constexpr Milliseconds s_ceilingNoticeInterval { 600'000 };
    // An eviction that loses at most this much progress, in percentage points, counts as saved.
    constexpr std::uint32_t s_savedWithinPercent = 3;

    bool isExhausted(std::int64_t used, std::int64_t reserved)
    {
        return static_cast<double>(used) >= s_exhaustedShare * static_cast<double>(reserved);
    }

} // namespace

Planner::State::State(const PlannerOptions& options)
    : m_options(options)
    , m_random(options.seed)
    , m_kinds(s_kindLimit)
    , m_queue(m_teams)
    , m_evictionCost(m_kindStatistics)
    , m_guard(m_fleet)
    , m_runningByKind(s_kindLimit)
{
}

void Planner::State::workerUpdated(const WorkerObservation& observation, TimePoint now)
{
    if (!m_fleet.liveWorkers())
        m_fleetKnownSince = now;
    bool isNew = m_fleet.slotOf(observation.worker) == PolicyTask::s_noWorker;
    WorkerSlot slot = m_fleet.observe(observation);
    if (isNew)
        m_failures.forgetWorker(slot);
    m_hasChanged = true;
}

void Planner::State::workerRemoved(std::string_view worker)
{
    WorkerSlot slot = m_fleet.slotOf(worker);
    if (slot == PolicyTask::s_noWorker)
        return;
    m_quarantine.forget(slot);
    m_fleet.setQuarantined(slot, false);
    m_fleet.markRemoved(worker);
}

PolicyTask* Planner::State::find(const std::string& task)
{
    auto it = m_tasks.find(task);
    return it == m_tasks.end() ? nullptr : &it->second;
}

PolicyTask& Planner::State::recordOf(const TaskRequest& request)
{
    auto [it, isNew] = m_tasks.try_emplace(request.task);
    PolicyTask& task = it->second;
    if (!isNew && task.isPlaced())
        return task;
    task.id = request.task;
    task.team = m_teams.idOf(request.team);
    task.kind = m_kinds.idOf(request.kind);
    task.priority = request.priority;
    task.isService = request.isService;
    task.isUrgent = request.isUrgent;
    task.hasGuards = request.hasGuards;
    task.slowdownLimitMilli = request.slowdownLimitMilli;
    task.checkpoint = request.checkpoint;
    task.declared = request.declared;
    task.expected = request.expected;
    return task;
}

void Planner::State::taskWaiting(const TaskRequest& request, TimePoint now)
{
    PolicyTask* known = find(request.task);
    if (known && (known->isPlaced() || known->lane != PolicyTask::s_noLane))
        return;
    enqueue(recordOf(request), now);
}

void Planner::State::enqueue(PolicyTask& task, TimePoint now)
{
    task.waitingSince = now;
    Resources demand = demandOf(task);
    m_queue.add(task, demand);
    m_hasChanged = true;
    if (!task.isUrgent && !task.isService)
        return;
    m_headroom = { std::max(m_headroom.millicores, demand.millicores), std::max(m_headroom.memoryMib, demand.memoryMib), std::max(m_headroom.accelerators, demand.accelerators) };
}

void Planner::State::taskRemoved(const std::string& id)
{
    PolicyTask* task = find(id);
    if (!task || task->isPlaced())
        return;
    m_failures.forgetTask(id);
    forget(*task);
}

void Planner::State::forget(PolicyTask& task)
{
    m_queue.remove(task);
    withdrawNomination(task);
    m_tasks.erase(std::string(task.id));
}

void Planner::State::place(PolicyTask& task, WorkerSlot slot, const Resources& reserved, TimePoint now)
{
    m_queue.remove(task);
    withdrawNomination(task);
    task.startedAt = now;
    task.checkpointRequestedAt = now;
    task.isEvicting = false;
    task.isProbe = false;
    task.throttlePercent = 100;
    task.progress = task.checkpoint;
    task.attempt = 0;
    task.serial = m_nextSerial++;
    task.useSamples = 0;
    task.exhaustedSamples = 0;
    task.peakMemoryMib = 0;
    task.busyCores = m_kindStatistics.busyCores(task.kind, reserved);
    ++m_runningByKind[task.kind];
    m_fleet.reserve(task, slot, reserved);
    m_teams.charge(task.team, reserved);
    m_guard.taskStarted(task, now);
    markDirty(slot);
}

void Planner::State::release(PolicyTask& task, TimePoint now)
{
    m_guard.taskEnded(task, now);
    markDirty(task.worker);
    --m_runningByKind[task.kind];
    m_teams.refund(task.team, task.reserved);
    m_fleet.release(task);
    m_hasChanged = true;
}

void Planner::State::attemptStarted(const AttemptId& id, const TaskRequest& request, std::string_view worker, const Resources& reserved, TimePoint now)
{
    PolicyTask& task = recordOf(request);
    WorkerSlot slot = m_fleet.slotOf(worker);
    // An unknown worker is added with no capacity, so that the attempt is accounted but no
    // other task is placed there.
    if (slot == PolicyTask::s_noWorker)
        slot = m_fleet.observe({ std::string(worker), "", {}, false });
    bool isConfirmed = task.isPlaced() && task.worker == slot && task.reserved == reserved;
    if (!isConfirmed) {
        if (task.isPlaced())
            release(task, now);
        place(task, slot, reserved, now);
    }
    task.attempt = id.attempt;
    markDirty(slot);
}

void Planner::State::placementFailed(const std::string& id, TimePoint now)
{
    PolicyTask* task = find(id);
    if (!task || !task->isPlaced() || task->attempt)
        return;
    recordProbeOutcome(*task, AttemptState::Unknown, now);
    release(*task, now);
    enqueue(*task, now);
}

void Planner::State::attemptEnded(const AttemptReport& last, TimePoint now)
{
    PolicyTask* task = find(last.id.task);
    if (!task || !task->isPlaced() || (task->attempt && task->attempt != last.id.attempt))
        return;
    learnFromEnd(*task, last, now);
    recordProbeOutcome(*task, last.state, now);
    release(*task, now);
    m_tasks.erase(last.id.task);
}

void Planner::State::learnFromEnd(const PolicyTask& task, const AttemptReport& last, TimePoint now)
{
    bool isOutOfMemory = last.state == AttemptState::Failed && last.used.memoryMib > 0 && isExhausted(last.used.memoryMib, task.reserved.memoryMib);
    if (isOutOfMemory && !task.isService)
        m_kindStatistics.observeExhaustedMemory(task.kind, task.reserved.memoryMib);
    else if (last.state == AttemptState::Failed)
        learnFailure(task, now);
    if (last.state == AttemptState::Completed)
        m_failures.completed(task.id, task.kind, task.worker);
    if (task.isService)
        return;
    std::uint32_t progress = std::max(last.progress, task.progress);
    std::uint32_t checkpoint = std::max(last.checkpoint, task.checkpoint);
    if (last.state == AttemptState::Stopped && progress)
        m_evictionCost.observe(task.kind, progress <= checkpoint + s_savedWithinPercent);
    // Only runs without a checkpoint to resume from that ended at full speed give the run time of the kind.
    bool isWhole = last.state == AttemptState::Completed && task.expected.count() > 0 && !task.checkpoint && m_guard.speedOf(task) == 100;
    if (isWhole)
        m_kindStatistics.observeRunTime(task.kind, task.expected, std::chrono::duration_cast<Milliseconds>(now - task.startedAt));
}

void Planner::State::learnFailure(const PolicyTask& task, TimePoint now)
{
    m_failures.failed(task.id, task.kind, task.worker);
    const FleetWorker& worker = m_fleet.worker(task.worker);
    if (worker.isQuarantined || worker.isRemoved || !m_failures.isWorkerSuspect(task.worker))
        return;
    if (m_quarantine.quarantine(task.worker, m_fleet.liveWorkers(), now)) {
        m_fleet.setQuarantined(task.worker, true);
        m_notices.push_back({ EventId::WorkerQuarantined, worker.name, "tasks of several kinds failed on this worker" });
        return;
    }
    if (m_lastCeilingNotice != TimePoint() && now - m_lastCeilingNotice < s_ceilingNoticeInterval)
        return;
    m_lastCeilingNotice = now;
    m_notices.push_back({ EventId::QuarantineCeiling, worker.name, std::to_string(m_quarantine.size()) + " workers are already quarantined" });
}

void Planner::State::recordProbeOutcome(const PolicyTask& task, AttemptState state, TimePoint now)
{
    WorkerSlot slot = task.worker;
    if (!task.isProbe || !m_quarantine.isQuarantined(slot))
        return;
    if (state == AttemptState::Failed)
        return m_quarantine.probeFailed(slot, now);
    if (state != AttemptState::Completed)
        return m_quarantine.probeInconclusive(slot);
    if (!m_quarantine.probeSucceeded(slot, now))
        return;
    m_failures.forgetWorker(slot);
    m_fleet.setQuarantined(slot, false);
    m_notices.push_back({ EventId::WorkerReleased, m_fleet.worker(slot).name, "its probe tasks completed" });
}

void Planner::State::sample(const AttemptReport& report, TimePoint now)
{
    PolicyTask* task = find(report.id.task);
    if (!task || !task->isPlaced() || task->attempt != report.id.attempt)
        return;
    task->used = report.used;
    task->progress = std::max(task->progress, report.progress);
    task->checkpoint = std::max(task->checkpoint, report.checkpoint);
    task->throttlePercent = report.throttlePercent;
    if (!task->isService)
        learnUse(*task, report);
    m_guard.sample(*task, report, now);
    markDirty(task->worker);
}

void Planner::State::learnUse(PolicyTask& task, const AttemptReport& report)
{
    if (report.throttlePercent < s_minPercentToLearn)
        return;
    constexpr double s_percentOfMilli = 10;
    double cores = static_cast<double>(report.used.millicores) / s_percentOfMilli / report.throttlePercent;
    ++task.useSamples;
    task.exhaustedSamples += report.throttlePercent == 100 && isExhausted(report.used.millicores, task.reserved.millicores);
    task.busyCores += (cores - task.busyCores) / std::min(task.useSamples, s_useSmoothing);
    task.peakMemoryMib = std::max(task.peakMemoryMib, report.used.memoryMib);
    if (task.useSamples != s_samplesToTrust)
        return;
    auto millicores = static_cast<std::int64_t>(task.busyCores * 1000);
    m_kindStatistics.observeUse(task.kind, { millicores, task.peakMemoryMib, 0 });
    if (task.exhaustedSamples >= s_minExhaustedSamples)
        m_kindStatistics.observeExhaustedProcessors(task.kind, task.reserved.millicores);
}

Resources Planner::State::demandOf(const PolicyTask& task) const
{
    if (task.isService)
        return task.declared;
    return m_kindStatistics.demandOf(task.kind, task.declared);
}

Plan Planner::State::plan(TimePoint now)
{
    Plan plan;
    placeWaiting(plan, now);
    steerWorkers(plan, now);
    plan.notices = std::exchange(m_notices, {});
    return plan;
}

} // namespace plantainhold
