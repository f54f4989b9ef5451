// Converts between the log's representation of tasks and the planner's.

#include "plantainhold/scheduling/PlannerPlacement.h"

#include "plantainhold/config/ConfigSnapshot.h"
#include "plantainhold/policy/Fleet.h"
#include "plantainhold/policy/Planner.h"
#include "plantainhold/scheduling/UrgentPreemption.h"
#include "plantainhold/util/RcuCell.h"

#include <algorithm>

namespace plantainhold {

namespace {

    // The planner reacts to reports, which arrive far less often than decisions are made.
    constexpr Milliseconds s_planPeriod { 200 };
    constexpr std::size_t s_urgentPerPlan = 16;

    // Returns an equal share of a quota, at least one unit, as zero means no limit.
    std::int64_t shareOf(std::int64_t quota, std::int64_t shards)
    {
        return quota ? std::max<std::int64_t>(1, quota / shards) : 0;
    }

} // namespace

PlannerPlacement::PlannerPlacement(const RcuCell<ConfigSnapshot>& config, std::int64_t shards)
    : m_config(config)
    , m_shards(shards)
    , m_planner(std::make_unique<Planner>(PlannerOptions {}))
{
}

PlannerPlacement::~PlannerPlacement() = default;

void PlannerPlacement::ownershipStarted()
{
    m_planner = std::make_unique<Planner>(PlannerOptions {});
    m_workers.clear();
    m_impossible.clear();
    m_configVersion = 0;
    m_hasChanged = true;
}

TaskRequest PlannerPlacement::requestFor(const TaskEntry& entry) const
{
    const TaskDescription& task = entry.description;
    TaskRequest request;
    request.task = task.id;
    request.team = task.team;
    request.kind = taskKind(task.profile, task.command);
    request.declared = task.resources;
    request.expected = Milliseconds(task.expectedMs);
    request.isService = task.isService;
    request.isUrgent = task.isUrgent;
    request.checkpoint = entry.checkpoint;
    auto config = m_config.read();
    if (const Profile* profile = config->findProfile(task.profile)) {
        request.priority = profile->priority;
        request.hasGuards = profile->hasGuards;
    }
    return request;
}

void PlannerPlacement::taskWaiting(const TaskEntry& entry, TimePoint now)
{
    m_planner->taskWaiting(requestFor(entry), now);
    m_hasChanged = true;
}

void PlannerPlacement::taskRemoved(const std::string& task)
{
    m_planner->taskRemoved(task);
    m_impossible.erase(task);
}

void PlannerPlacement::attemptAssigned(const TaskEntry& entry, TimePoint now)
{
    m_planner->attemptStarted({ entry.description.id, entry.attempt }, requestFor(entry), entry.worker, entry.reserved, now);
    m_hasChanged = true;
}

void PlannerPlacement::placementFailed(const std::string& task, TimePoint now)
{
    m_planner->placementFailed(task, now);
    m_hasChanged = true;
}

void PlannerPlacement::attemptEnded(const AttemptReport& last, TimePoint now)
{
    m_planner->attemptEnded(last, now);
    m_hasChanged = true;
}

void PlannerPlacement::reportReceived(const AttemptReport& report, TimePoint now)
{
    m_planner->sample(report, now);
}

void PlannerPlacement::updateTeams()
{
    auto config = m_config.read();
    if (config->version == m_configVersion)
        return;
    m_configVersion = config->version;
    for (const Team& it : config->document.teams) {
        TeamShare share;
        share.team = it.name;
        share.quota = { shareOf(it.quota.millicores, m_shards), shareOf(it.quota.memoryMib, m_shards), shareOf(it.quota.accelerators, m_shards) };
        m_planner->teamUpdated(share);
    }
    m_hasChanged = true;
}

void PlannerPlacement::updateWorkers(const ShardView& view, TimePoint now)
{
    for (const auto& [name, worker] : view.workers) {
        KnownWorker current { worker.capacity(), worker.isLeaving(), worker.isSchedulable() || (worker.isResponsive() && worker.isLeaving()) };
        auto known = m_workers.find(name);
        // The capacity of a worker that was never described is unknown.
        if (known == m_workers.end() ? !current.isUsable : known->second == current)
            continue;
        m_workers[name] = current;
        m_hasChanged = true;
        if (current.isUsable)
            m_planner->workerUpdated({ name, worker.rack(), current.capacity, current.isLeaving }, now);
        else
            m_planner->workerRemoved(name, now);
    }
    std::erase_if(m_workers, [&](const auto& it) {
        bool isGone = !view.workers.contains(it.first);
        if (isGone)
            m_planner->workerRemoved(it.first, now);
        return isGone;
    });
}

// The planner places urgent tasks first where there is free capacity. This frees
// capacity for the urgent tasks that fit nowhere.
void PlannerPlacement::preemptForUrgent(const ShardView& view, PlacementPlan& plan)
{
    UrgentPreemption preemption(view, plan);
    std::size_t served = 0;
    for (const WaitingKey& key : view.reducer.waiting()) {
        const TaskEntry& entry = *view.reducer.find(key.task);
        if (!entry.description.isUrgent || ++served > s_urgentPerPlan)
            return;
        bool isPlaced = view.tentative.contains(key.task) || std::any_of(plan.placements.begin(), plan.placements.end(), [&](const auto& it) { return it.task == key.task; });
        // If there is enough free capacity, the task waits for another reason, such as a quota.
        if (!isPlaced && !preemption.hasCapacity(entry) && !m_impossible.contains(key.task))
            preemption.preempt(entry);
    }
}

PlacementPlan PlannerPlacement::plan(const ShardView& view, TimePoint now)
{
    updateTeams();
    updateWorkers(view, now);
    PlacementPlan result;
    for (const auto& [task, reason] : m_impossible)
        result.impossible.push_back({ task, reason });
    if (!m_hasChanged && now - m_lastPlan < s_planPeriod)
        return result;
    m_hasChanged = false;
    m_lastPlan = now;
    Plan plan = m_planner->plan(now);
    for (Placement& it : plan.placements)
        result.placements.push_back({ it.task, it.worker, it.reserved, std::move(it.reason) });
    for (PolicyAction& it : plan.actions) {
        if (it.kind == PolicyActionKind::Throttle)
            result.throttles.push_back({ it.attempt, it.throttlePercent, std::move(it.reason) });
        else if (it.kind == PolicyActionKind::Checkpoint)
            result.checkpoints.push_back(it.attempt);
        else
            result.evictions.push_back({ it.attempt, std::move(it.reason) });
    }
    for (ImpossibleTask& it : plan.impossible) {
        const TaskEntry* entry = view.reducer.find(it.task);
        // After a takeover, workers that have not been described yet appear to have no capacity.
        if (!view.isWorkerViewComplete && entry) {
            m_planner->taskWaiting(requestFor(*entry), now);
            continue;
        }
        m_impossible[it.task] = it.reason;
        result.impossible.push_back({ it.task, std::move(it.reason) });
    }
    // If the planner itself preempts tasks, more evictions would free the same capacity twice.
    bool isPreempting = std::any_of(plan.actions.begin(), plan.actions.end(), [](const PolicyAction& it) { return it.event == EventId::TaskPreempted; });
    if (!isPreempting)
        preemptForUrgent(view, result);
    for (PolicyNotice& it : plan.notices)
        result.notes.push_back({ it.event, {}, { { "subject", it.subject }, { "reason", it.reason } } });
    return result;
}

} // namespace plantainhold
