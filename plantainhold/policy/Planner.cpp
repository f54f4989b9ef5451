// The planner's state and its placement rounds.

#include "plantainhold/policy/Planner.h"

#include "plantainhold/policy/FairQueue.h"
#include "plantainhold/policy/Fleet.h"
#include "plantainhold/policy/PolicyTask.h"

#include <algorithm>
#include <random>
#include <unordered_map>

namespace plantainhold {

namespace {

    constexpr std::size_t s_kindLimit = 1024;
    // Blocked lanes are tried again this often even when nothing was freed.
    constexpr Milliseconds s_retryBlocked { 1000 };

} // namespace

class Planner::State {
public:
    explicit State(const PlannerOptions& options)
        : m_options(options)
        , m_random(options.seed)
        , m_kinds(s_kindLimit)
        , m_queue(m_teams)
    {
    }

    void workerSeen(const WorkerObservation& observation, TimePoint now);
    void workerGone(std::string_view worker);
    void taskWaiting(const TaskRequest& request, TimePoint now);
    void taskGone(const std::string& task);
    void attemptStarted(const AttemptId& id, const TaskRequest& request, std::string_view worker, const Resources& reserved, TimePoint now);
    void placementFailed(const std::string& task, TimePoint now);
    void attemptEnded(const AttemptId& id, AttemptState state, TimePoint now);
    void sample(const AttemptReport& report, TimePoint now);
    Plan plan(TimePoint now);

    TeamAccounts& teams() { return m_teams; }
    std::size_t waitingTasks() const { return m_queue.size(); }
    std::size_t runningTasks() const { return m_tasks.size() - m_queue.size(); }

private:
    PolicyTask& recordOf(const TaskRequest& request);
    PolicyTask* find(const std::string& task);
    void enqueue(PolicyTask& task, TimePoint now);
    void place(PolicyTask& task, WorkerSlot slot, const Resources& reserved, TimePoint now);
    void release(PolicyTask& task);
    void placeWaiting(Plan& plan, TimePoint now);
    bool tryPlace(PolicyTask& task, Plan& plan, TimePoint now);
    WorkerSlot chooseWorker(const PolicyTask& task, const Resources& demand);
    double score(const PolicyTask& task, const FleetWorker& worker, WorkerSlot slot) const;
    bool reportImpossible(PolicyTask& task, Plan& plan, TimePoint now);

    const PlannerOptions m_options;
    std::mt19937_64 m_random;
    NameTable m_kinds;
    TeamAccounts m_teams;
    Fleet m_fleet;
    FairQueue m_queue;
    std::unordered_map<std::string, PolicyTask> m_tasks;
    std::vector<WorkerSlot> m_found;
    TimePoint m_fleetSince;
    TimePoint m_lastRound;
    bool m_hasNews = false;
};

void Planner::State::workerSeen(const WorkerObservation& observation, TimePoint now)
{
    if (!m_fleet.liveWorkers())
        m_fleetSince = now;
    m_fleet.observe(observation);
    m_hasNews = true;
}

void Planner::State::workerGone(std::string_view worker)
{
    m_fleet.vanish(worker);
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
    m_queue.add(task, task.declared);
    m_hasNews = true;
}

void Planner::State::taskGone(const std::string& id)
{
    PolicyTask* task = find(id);
    if (!task || task->isPlaced())
        return;
    m_queue.remove(*task);
    m_tasks.erase(id);
}

void Planner::State::place(PolicyTask& task, WorkerSlot slot, const Resources& reserved, TimePoint now)
{
    m_queue.remove(task);
    task.startedAt = now;
    task.throttlePercent = 100;
    task.attempt = 0;
    m_fleet.reserve(task, slot, reserved);
    m_teams.charge(task.team, reserved);
}

void Planner::State::release(PolicyTask& task)
{
    m_teams.refund(task.team, task.reserved);
    m_fleet.release(task);
    m_hasNews = true;
}

void Planner::State::attemptStarted(const AttemptId& id, const TaskRequest& request, std::string_view worker, const Resources& reserved, TimePoint now)
{
    PolicyTask& task = recordOf(request);
    WorkerSlot slot = m_fleet.slotOf(worker);
    // A worker that was never described holds the attempt all the same, with no room beside it.
    if (slot == PolicyTask::s_noWorker)
        slot = m_fleet.observe({ std::string(worker), "", {}, false });
    bool isConfirmed = task.isPlaced() && task.worker == slot && task.reserved == reserved;
    if (!isConfirmed) {
        if (task.isPlaced())
            release(task);
        place(task, slot, reserved, now);
    }
    task.attempt = id.attempt;
}

void Planner::State::placementFailed(const std::string& id, TimePoint now)
{
    PolicyTask* task = find(id);
    if (!task || !task->isPlaced() || task->attempt)
        return;
    release(*task);
    enqueue(*task, now);
}

void Planner::State::attemptEnded(const AttemptId& id, AttemptState, TimePoint)
{
    PolicyTask* task = find(id.task);
    if (!task || !task->isPlaced() || (task->attempt && task->attempt != id.attempt))
        return;
    release(*task);
    m_tasks.erase(id.task);
}

void Planner::State::sample(const AttemptReport& report, TimePoint)
{
    PolicyTask* task = find(report.id.task);
    if (!task || !task->isPlaced() || task->attempt != report.id.attempt)
        return;
    task->used = report.used;
    task->progress = report.progress;
    task->checkpoint = std::max(task->checkpoint, report.checkpoint);
    task->throttlePercent = report.throttlePercent;
}

Plan Planner::State::plan(TimePoint now)
{
    Plan plan;
    placeWaiting(plan, now);
    return plan;
}

void Planner::State::placeWaiting(Plan& plan, TimePoint now)
{
    if (!m_queue.size() || (!m_hasNews && now - m_lastRound < s_retryBlocked))
        return;
    m_hasNews = false;
    m_lastRound = now;
    m_queue.beginRound(now, m_fleet.totalCapacity());
    while (PolicyTask* task = m_queue.next()) {
        if (plan.placements.size() == m_options.placementsPerPlan) {
            m_hasNews = true;
            return;
        }
        if (!tryPlace(*task, plan, now) && !reportImpossible(*task, plan, now))
            m_queue.block();
    }
}

bool Planner::State::tryPlace(PolicyTask& task, Plan& plan, TimePoint now)
{
    const Resources& demand = task.declared;
    if (!m_teams.isWithinQuota(task.team, demand))
        return false;
    WorkerSlot slot = chooseWorker(task, demand);
    if (slot == PolicyTask::s_noWorker)
        return false;
    place(task, slot, demand, now);
    plan.placements.push_back({ task.id, m_fleet.worker(slot).name, demand, EventId::TaskPlaced, "best of the workers with room" });
    return true;
}

WorkerSlot Planner::State::chooseWorker(const PolicyTask& task, const Resources& demand)
{
    m_fleet.openRoom().collect(demand, static_cast<WorkerSlot>(m_random()), m_options.candidates, m_found);
    WorkerSlot best = PolicyTask::s_noWorker;
    double bestScore = 0;
    for (WorkerSlot it : m_found) {
        double score = this->score(task, m_fleet.worker(it), it);
        if (best == PolicyTask::s_noWorker || score > bestScore) {
            best = it;
            bestScore = score;
        }
    }
    return best;
}

double Planner::State::score(const PolicyTask& task, const FleetWorker& worker, WorkerSlot slot) const
{
    auto alike = std::count_if(worker.tasks.begin(), worker.tasks.end(), [&](const PolicyTask* it) { return it->isService && it->kind == task.kind; });
    double room = static_cast<double>(worker.room().millicores) / static_cast<double>(std::max<std::int64_t>(1, worker.capacity.millicores));
    if (!task.isService)
        return room;
    return room - 10.0 * static_cast<double>(alike) - m_fleet.kindInRack(slot, task.kind);
}

bool Planner::State::reportImpossible(PolicyTask& task, Plan& plan, TimePoint now)
{
    if (!m_fleet.liveWorkers() || now - m_fleetSince < m_options.settling)
        return false;
    std::string reason;
    m_fleet.capacities().collect(task.declared, 0, 1, m_found);
    if (m_found.empty())
        reason = "it asks for more than any worker has";
    else if (m_teams.canNeverFit(task.team, task.declared))
        reason = "it asks for more than the whole quota of team " + m_teams.nameOf(task.team);
    if (reason.empty())
        return false;
    plan.impossible.push_back({ task.id, EventId::TaskImpossible, reason });
    m_queue.remove(task);
    m_tasks.erase(std::string(task.id));
    return true;
}

Planner::Planner(const PlannerOptions& options)
    : m_state(std::make_unique<State>(options))
{
}

Planner::~Planner() = default;

void Planner::workerSeen(const WorkerObservation& observation, TimePoint now)
{
    m_state->workerSeen(observation, now);
}

void Planner::workerGone(std::string_view worker, TimePoint)
{
    m_state->workerGone(worker);
}

void Planner::teamSeen(const TeamShare& share)
{
    m_state->teams().setShare(share);
}

void Planner::taskWaiting(const TaskRequest& request, TimePoint now)
{
    m_state->taskWaiting(request, now);
}

void Planner::taskGone(std::string_view task)
{
    m_state->taskGone(std::string(task));
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
    m_state->attemptEnded(id, state, now);
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
