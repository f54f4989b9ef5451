// The planner's placement rounds: the choice of a worker for each waiting task, tasks that
// can never be placed, and preemption by urgent tasks and services.

#include "plantainhold/policy/PlannerState.h"
#include "plantainhold/policy/Preemption.h"

#include <algorithm>
#include <cstdio>
#include <limits>

namespace plantainhold {

namespace {

    // Interval at which blocked lanes are retried even if no capacity was freed.
    constexpr Milliseconds s_blockedRetryInterval { 1000 };
    // A placement of a batch task must gain this share of the task's cores in throughput. The
    // share decreases linearly with the waiting time and reaches zero after s_maxHoldTime.
    constexpr double s_minGainShare = 0.7;
    constexpr Milliseconds s_maxHoldTime { 3'600'000 };
    // Score of an empty worker relative to a full one, in cores.
    constexpr double s_freeShareWeight = 0.2;
    constexpr double s_sameKindPenalty = 10;
    constexpr std::size_t s_preemptionCandidates = 32;
    constexpr Milliseconds s_nominationTimeout { 30'000 };
    constexpr std::size_t s_minFleetForHeadroom = 16;
    // A task that failed this often on healthy workers is considered faulty itself.
    constexpr std::size_t s_healthyWorkerFailureLimit = 3;

    double freeShare(const FleetWorker& worker)
    {
        return static_cast<double>(worker.freeCapacity().millicores) / static_cast<double>(std::max<std::int64_t>(1, worker.capacity.millicores));
    }

} // namespace

void Planner::State::placeWaiting(Plan& plan, TimePoint now)
{
    if (!m_queue.size() || (!m_hasChanged && now - m_lastRound < s_blockedRetryInterval))
        return;
    m_hasChanged = false;
    m_lastRound = now;
    chooseHeadroomWorker();
    m_queue.beginRound(now, m_fleet.totalCapacity());
    while (PolicyTask* task = m_queue.next()) {
        if (plan.placements.size() == m_options.placementsPerPlan) {
            m_hasChanged = true;
            return;
        }
        if (!reportImpossible(*task, plan, now) && !tryPlace(*task, plan, now))
            m_queue.block();
    }
}

bool Planner::State::tryPlace(PolicyTask& task, Plan& plan, TimePoint now)
{
    Resources demand = demandOf(task);
    if (!m_teams.isWithinQuota(task.team, demand))
        return false;
    // Of a kind that fails on every worker, only one task runs at a time.
    if (m_runningByKind[task.kind] && m_failures.isKindFailing(task.kind))
        return false;
    if (placeNominated(task, demand, plan, now) || placeProbe(task, demand, plan, now))
        return true;
    ScoredWorker choice = chooseWorker(task, demand, now);
    if (choice.worker == PolicyTask::s_noWorker) {
        preempt(task, demand, plan, now);
        return false;
    }
    char reason[96];
    std::snprintf(reason, sizeof reason, "best of %zu candidate workers, score %.2f", m_found.size(), choice.score);
    commitPlacement(task, choice.worker, demand, reason, plan, now);
    return true;
}

void Planner::State::commitPlacement(PolicyTask& task, WorkerSlot slot, const Resources& demand, std::string reason, Plan& plan, TimePoint now)
{
    place(task, slot, demand, now);
    task.isProbe = m_quarantine.isQuarantined(slot);
    // The reserved headroom is in use now; the next round chooses another worker for it.
    if (slot == m_headroomWorker && (task.isUrgent || task.isService))
        m_headroomWorker = PolicyTask::s_noWorker;
    plan.placements.push_back({ task.id, m_fleet.worker(slot).name, demand, EventId::TaskPlaced, std::move(reason) });
}

Planner::State::ScoredWorker Planner::State::chooseWorker(const PolicyTask& task, const Resources& demand, TimePoint now)
{
    m_fleet.availableCapacities().collect(demand, static_cast<WorkerSlot>(m_random()), m_options.candidates, m_found);
    double cores = m_kindStatistics.busyCores(task.kind, demand);
    ScoredWorker best { PolicyTask::s_noWorker, minScore(task, cores, now) };
    ScoredWorker fallback = best;
    for (WorkerSlot it : m_found) {
        if (!leavesHeadroom(task, it, demand))
            continue;
        // A worker on which the task failed before is chosen only if no other one is suitable.
        ScoredWorker& choice = m_failures.hasFailedOn(task.id, it) ? fallback : best;
        double score = task.isService ? scoreService(task, it) : scoreBatch(task, cores, it, now);
        if (score > choice.score)
            choice = { it, score };
    }
    return best.worker == PolicyTask::s_noWorker ? fallback : best;
}

double Planner::State::minScore(const PolicyTask& task, double cores, TimePoint now) const
{
    if (task.isService || task.isUrgent)
        return -std::numeric_limits<double>::max();
    double waited = std::chrono::duration<double>(now - task.waitingSince) / s_maxHoldTime;
    return s_minGainShare * std::max(0.0, 1 - waited) * cores;
}

double Planner::State::scoreService(const PolicyTask& task, WorkerSlot slot) const
{
    const FleetWorker& worker = m_fleet.worker(slot);
    auto alike = std::count_if(worker.tasks.begin(), worker.tasks.end(), [&](const PolicyTask* it) { return it->isService && it->kind == task.kind; });
    return freeShare(worker) - s_sameKindPenalty * static_cast<double>(alike) - m_fleet.kindCountInRack(slot, task.kind);
}

double Planner::State::scoreBatch(const PolicyTask& task, double cores, WorkerSlot slot, TimePoint now) const
{
    return m_guard.throughputGain(slot, task.kind, cores, now) + s_freeShareWeight * freeShare(m_fleet.worker(slot));
}

bool Planner::State::leavesHeadroom(const PolicyTask& task, WorkerSlot slot, const Resources& demand) const
{
    if (task.isUrgent || task.isService || slot != m_headroomWorker)
        return true;
    return m_headroom.fitsIn(m_fleet.availableCapacities().capacityOf(slot) - demand);
}

void Planner::State::chooseHeadroomWorker()
{
    bool isNeeded = m_fleet.liveWorkers() >= s_minFleetForHeadroom && m_headroom != Resources {};
    bool isChosen = m_headroomWorker != PolicyTask::s_noWorker && m_fleet.worker(m_headroomWorker).acceptsWork();
    if (isNeeded == isChosen)
        return;
    m_headroomWorker = PolicyTask::s_noWorker;
    // Chooses the worker that already has the largest part of the headroom free; the rest
    // becomes free as its batch tasks end.
    constexpr std::int64_t s_steps = 8;
    for (std::int64_t step = s_steps; isNeeded && step >= 0 && m_headroomWorker == PolicyTask::s_noWorker; --step) {
        Resources part { m_headroom.millicores * step / s_steps, m_headroom.memoryMib * step / s_steps, m_headroom.accelerators * step / s_steps };
        m_fleet.availableCapacities().collect(part, static_cast<WorkerSlot>(m_random()), 1, m_found);
        if (!m_found.empty())
            m_headroomWorker = m_found.front();
    }
}

bool Planner::State::placeNominated(PolicyTask& task, const Resources& demand, Plan& plan, TimePoint now)
{
    if (task.nominatedOn == PolicyTask::s_noWorker)
        return false;
    WorkerSlot slot = task.nominatedOn;
    const FleetWorker& worker = m_fleet.worker(slot);
    Resources available = worker.freeCapacity() - worker.nominated + task.nominated;
    if (worker.acceptsWork() && demand.fitsIn(available)) {
        commitPlacement(task, slot, demand, "what it preempted has ended", plan, now);
        return true;
    }
    if (!worker.acceptsWork() || now - task.nominatedAt >= s_nominationTimeout)
        withdrawNomination(task);
    return false;
}

bool Planner::State::placeProbe(PolicyTask& task, const Resources& demand, Plan& plan, TimePoint now)
{
    bool mayProbe = !task.isService && !task.isUrgent && task.priority >= Priority::Normal && !m_failures.isKindFailing(task.kind) && !m_failures.failuresOnHealthyWorkers(task.id);
    if (!mayProbe || !m_quarantine.size())
        return false;
    for (WorkerSlot it : m_quarantine.dueForProbe(now)) {
        const FleetWorker& worker = m_fleet.worker(it);
        if (worker.isLeaving || worker.isRemoved || !demand.fitsIn(worker.freeCapacity() - worker.nominated))
            continue;
        m_quarantine.probeStarted(it);
        commitPlacement(task, it, demand, "probe of a quarantined worker", plan, now);
        return true;
    }
    return false;
}

bool Planner::State::reportImpossible(PolicyTask& task, Plan& plan, TimePoint now)
{
    std::string reason = impossibleReason(task, now);
    if (reason.empty())
        return false;
    plan.impossible.push_back({ task.id, EventId::TaskImpossible, reason });
    m_failures.forgetTask(task.id);
    forget(task);
    return true;
}

std::string Planner::State::impossibleReason(const PolicyTask& task, TimePoint now)
{
    // Services are always restarted, however often they failed, because callers depend on them.
    std::size_t failures = task.isService ? 0 : m_failures.failuresOnHealthyWorkers(task.id);
    if (failures >= s_healthyWorkerFailureLimit)
        return "it failed " + std::to_string(failures) + " times on workers that run other tasks";
    if (failures && m_failures.isKindFailing(task.kind))
        return "it failed, and so does every task of kind " + m_kinds.nameOf(task.kind) + " on every worker";
    if (!m_fleet.liveWorkers() || now - m_fleetKnownSince < m_options.settling)
        return "";
    if (m_teams.exceedsWholeQuota(task.team, task.declared))
        return "it asks for more than the whole quota of team " + m_teams.nameOf(task.team);
    m_fleet.capacities().collect(task.declared, 0, 1, m_found);
    if (m_found.empty())
        return "it asks for more than any worker has";
    m_fleet.capacities().collect(demandOf(task), 0, 1, m_found);
    return m_found.empty() ? "tasks of its kind need more than any worker has" : "";
}

void Planner::State::preempt(PolicyTask& task, const Resources& demand, Plan& plan, TimePoint now)
{
    if ((!task.isUrgent && !task.isService) || task.nominatedOn != PolicyTask::s_noWorker)
        return;
    m_fleet.preemptibleCapacities().collect(demand, static_cast<WorkerSlot>(m_random()), s_preemptionCandidates, m_found);
    VictimSelection best;
    WorkerSlot bestSlot = PolicyTask::s_noWorker;
    for (WorkerSlot it : m_found) {
        VictimSelection choice = selectVictims(m_fleet.worker(it), task, demand, m_evictionCost, now);
        if (!choice.isPossible || (best.isPossible && choice.cost >= best.cost))
            continue;
        best = std::move(choice);
        bestSlot = it;
    }
    if (!best.isPossible)
        return;
    task.nominatedOn = bestSlot;
    task.nominated = demand;
    task.nominatedAt = now;
    m_fleet.nominate(bestSlot, demand);
    for (PolicyTask* it : best.victims)
        evict(*it, EventId::TaskPreempted, "makes room for urgent task " + task.id, plan, now);
}

void Planner::State::withdrawNomination(PolicyTask& task)
{
    if (task.nominatedOn == PolicyTask::s_noWorker)
        return;
    m_fleet.nominate(task.nominatedOn, Resources {} - task.nominated);
    task.nominatedOn = PolicyTask::s_noWorker;
    task.nominated = {};
}

} // namespace plantainhold
