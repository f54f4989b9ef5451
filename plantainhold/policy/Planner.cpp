// The planner's state and its placement rounds.

#include "plantainhold/policy/Planner.h"

#include "plantainhold/policy/FairQueue.h"
#include "plantainhold/policy/Fleet.h"
#include "plantainhold/policy/KindStatistics.h"
#include "plantainhold/policy/PolicyTask.h"
#include "plantainhold/policy/ServiceGuard.h"

#include <algorithm>
#include <cstdio>
#include <limits>
#include <random>
#include <unordered_map>
#include <utility>

namespace plantainhold {

namespace {

    constexpr std::size_t s_kindLimit = 1024;
    // Blocked lanes are tried again this often even when nothing was freed.
    constexpr Milliseconds s_retryBlocked { 1000 };
    // A placement must bring this share of the task's cores to work.
    constexpr double s_leastGain = 0.3;
    // Worth of an empty worker against a full one, in cores.
    constexpr double s_roomWorth = 0.2;
    // Use above this share of the reservation may be a use that was held down by it.
    constexpr double s_exhaustedShare = 0.97;

    bool isExhausted(std::int64_t used, std::int64_t reserved)
    {
        return static_cast<double>(used) >= s_exhaustedShare * static_cast<double>(reserved);
    }

} // namespace

class Planner::State {
public:
    explicit State(const PlannerOptions& options)
        : m_options(options)
        , m_random(options.seed)
        , m_kinds(s_kindLimit)
        , m_queue(m_teams)
        , m_guard(m_fleet)
    {
    }

    void workerSeen(const WorkerObservation& observation, TimePoint now);
    void workerGone(std::string_view worker);
    void taskWaiting(const TaskRequest& request, TimePoint now);
    void taskGone(const std::string& task);
    void attemptStarted(const AttemptId& id, const TaskRequest& request, std::string_view worker, const Resources& reserved, TimePoint now);
    void placementFailed(const std::string& task, TimePoint now);
    void attemptEnded(const AttemptReport& last, TimePoint now);
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
    void release(PolicyTask& task, TimePoint now);
    void learnUse(PolicyTask& task, const AttemptReport& report);
    void learnFromEnd(const PolicyTask& task, const AttemptReport& last, TimePoint now);
    Resources demandOf(const PolicyTask& task) const;
    void markDirty(WorkerSlot slot);
    void steerWorkers(Plan& plan, TimePoint now);
    void placeWaiting(Plan& plan, TimePoint now);
    bool tryPlace(PolicyTask& task, Plan& plan, TimePoint now);
    WorkerSlot chooseWorker(const PolicyTask& task, const Resources& demand, TimePoint now);
    double scoreService(const PolicyTask& task, WorkerSlot slot) const;
    double scoreBatch(const PolicyTask& task, double cores, WorkerSlot slot, TimePoint now) const;
    bool reportImpossible(PolicyTask& task, Plan& plan, TimePoint now);

    const PlannerOptions m_options;
    std::mt19937_64 m_random;
    NameTable m_kinds;
    TeamAccounts m_teams;
    Fleet m_fleet;
    FairQueue m_queue;
    KindStatistics m_kindStatistics;
    ServiceGuard m_guard;
    // Workers on which speeds may have to change.
    std::vector<WorkerSlot> m_dirty;
    std::vector<bool> m_isDirty;
    std::uint64_t m_nextSerial = 1;
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
    m_queue.add(task, demandOf(task));
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
    task.serial = m_nextSerial++;
    task.useSamples = 0;
    task.mostMemoryMib = 0;
    task.busyCores = m_kindStatistics.busyCores(task.kind, reserved);
    m_fleet.reserve(task, slot, reserved);
    m_teams.charge(task.team, reserved);
    m_guard.taskStarted(task, now);
    markDirty(slot);
}

void Planner::State::release(PolicyTask& task, TimePoint now)
{
    m_guard.taskEnded(task, now);
    markDirty(task.worker);
    m_teams.refund(task.team, task.reserved);
    m_fleet.release(task);
    m_hasNews = true;
}

Resources Planner::State::demandOf(const PolicyTask& task) const
{
    if (task.isService)
        return task.declared;
    return m_kindStatistics.demandOf(task.kind, task.declared);
}

void Planner::State::markDirty(WorkerSlot slot)
{
    if (slot >= m_isDirty.size())
        m_isDirty.resize(slot + std::size_t(1));
    if (m_isDirty[slot])
        return;
    m_isDirty[slot] = true;
    m_dirty.push_back(slot);
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
            release(task, now);
        place(task, slot, reserved, now);
    }
    task.attempt = id.attempt;
}

void Planner::State::placementFailed(const std::string& id, TimePoint now)
{
    PolicyTask* task = find(id);
    if (!task || !task->isPlaced() || task->attempt)
        return;
    release(*task, now);
    enqueue(*task, now);
}

void Planner::State::attemptEnded(const AttemptReport& last, TimePoint now)
{
    PolicyTask* task = find(last.id.task);
    if (!task || !task->isPlaced() || (task->attempt && task->attempt != last.id.attempt))
        return;
    learnFromEnd(*task, last, now);
    release(*task, now);
    m_tasks.erase(last.id.task);
}

void Planner::State::learnFromEnd(const PolicyTask& task, const AttemptReport& last, TimePoint now)
{
    if (task.isService)
        return;
    bool isOutOfMemory = last.state == AttemptState::Failed && last.used.memoryMib > 0 && isExhausted(last.used.memoryMib, task.reserved.memoryMib);
    if (isOutOfMemory)
        m_kindStatistics.observeExhaustedMemory(task.kind, task.reserved.memoryMib);
    bool isWhole = last.state == AttemptState::Completed && task.expected.count() > 0 && !task.checkpoint;
    if (isWhole)
        m_kindStatistics.observeRunTime(task.kind, task.expected, std::chrono::duration_cast<Milliseconds>(now - task.startedAt));
}

void Planner::State::sample(const AttemptReport& report, TimePoint now)
{
    PolicyTask* task = find(report.id.task);
    if (!task || !task->isPlaced() || task->attempt != report.id.attempt)
        return;
    task->used = report.used;
    task->progress = report.progress;
    task->checkpoint = std::max(task->checkpoint, report.checkpoint);
    task->throttlePercent = report.throttlePercent;
    if (!task->isService)
        learnUse(*task, report);
    m_guard.sample(*task, report, now);
    markDirty(task->worker);
}

void Planner::State::learnUse(PolicyTask& task, const AttemptReport& report)
{
    constexpr std::uint32_t s_leastPercent = 10;
    constexpr std::uint32_t s_samplesToTrust = 4;
    if (report.throttlePercent < s_leastPercent)
        return;
    double cores = static_cast<double>(report.used.millicores) / 10.0 / report.throttlePercent;
    ++task.useSamples;
    task.busyCores += (cores - task.busyCores) / std::min(task.useSamples, 8U);
    task.mostMemoryMib = std::max(task.mostMemoryMib, report.used.memoryMib);
    if (task.useSamples != s_samplesToTrust)
        return;
    auto millicores = static_cast<std::int64_t>(task.busyCores * 1000);
    m_kindStatistics.observeUse(task.kind, { millicores, task.mostMemoryMib, 0 });
    if (isExhausted(millicores, task.reserved.millicores))
        m_kindStatistics.observeExhaustedProcessors(task.kind, task.reserved.millicores);
}

Plan Planner::State::plan(TimePoint now)
{
    Plan plan;
    placeWaiting(plan, now);
    steerWorkers(plan, now);
    return plan;
}

void Planner::State::steerWorkers(Plan& plan, TimePoint now)
{
    for (WorkerSlot slot : std::exchange(m_dirty, {})) {
        m_isDirty[slot] = false;
        bool awaitsConfirmation = false;
        for (const PolicyTask* it : m_fleet.worker(slot).tasks)
            awaitsConfirmation = awaitsConfirmation || !it->attempt;
        // Speeds are ordered of attempts that are known to run; the worker is looked at again then.
        if (awaitsConfirmation) {
            markDirty(slot);
            continue;
        }
        for (const SpeedDecision& it : m_guard.steer(slot, now)) {
            char text[96];
            std::snprintf(text, sizeof text, ": slowdown at full speed would be %.2f of %.2f", it.predictedSlowdown, it.service->slowdownLimitMilli / 1000.0);
            plan.actions.push_back({ PolicyActionKind::Throttle, { it.task->id, it.task->attempt }, m_fleet.worker(slot).name, it.percent, EventId::TaskThrottled, it.service->id + text });
        }
    }
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
    Resources demand = demandOf(task);
    if (!m_teams.isWithinQuota(task.team, demand))
        return false;
    WorkerSlot slot = chooseWorker(task, demand, now);
    if (slot == PolicyTask::s_noWorker)
        return false;
    place(task, slot, demand, now);
    plan.placements.push_back({ task.id, m_fleet.worker(slot).name, demand, EventId::TaskPlaced, "best of the workers with room" });
    return true;
}

WorkerSlot Planner::State::chooseWorker(const PolicyTask& task, const Resources& demand, TimePoint now)
{
    m_fleet.openRoom().collect(demand, static_cast<WorkerSlot>(m_random()), m_options.candidates, m_found);
    double cores = m_kindStatistics.busyCores(task.kind, demand);
    WorkerSlot best = PolicyTask::s_noWorker;
    // A batch task that would mostly stand throttled waits for a better place.
    double bestScore = task.isService || task.isUrgent ? -std::numeric_limits<double>::max() : s_leastGain * cores;
    for (WorkerSlot it : m_found) {
        double score = task.isService ? scoreService(task, it) : scoreBatch(task, cores, it, now);
        if (score <= bestScore)
            continue;
        best = it;
        bestScore = score;
    }
    return best;
}

double Planner::State::scoreService(const PolicyTask& task, WorkerSlot slot) const
{
    const FleetWorker& worker = m_fleet.worker(slot);
    auto alike = std::count_if(worker.tasks.begin(), worker.tasks.end(), [&](const PolicyTask* it) { return it->isService && it->kind == task.kind; });
    double room = static_cast<double>(worker.room().millicores) / static_cast<double>(std::max<std::int64_t>(1, worker.capacity.millicores));
    return room - 10.0 * static_cast<double>(alike) - m_fleet.kindInRack(slot, task.kind);
}

double Planner::State::scoreBatch(const PolicyTask& task, double cores, WorkerSlot slot, TimePoint now) const
{
    const FleetWorker& worker = m_fleet.worker(slot);
    double room = static_cast<double>(worker.room().millicores) / static_cast<double>(std::max<std::int64_t>(1, worker.capacity.millicores));
    return m_guard.gainOf(slot, task.kind, cores, now) + s_roomWorth * room;
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
