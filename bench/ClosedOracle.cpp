// The oracle: fractional knapsack of speed on each worker, greedy placement by
// the work gained.

#include "bench/ClosedOracle.h"

#include "bench/ClosedWorld.h"
#include "plantainhold/policy/Fleet.h"

#include <algorithm>
#include <cmath>

namespace plantainhold::bench {

namespace {

    // What it keeps free below each objective: loads move a little within a second.
    constexpr double s_margin = 0.97;
    constexpr double s_leastShare = 0.02;
    // A placement must bring this share of the task's cores to work.
    constexpr double s_leastGain = 0.3;
    constexpr int s_lookAheadSeconds = 300;
    constexpr int s_retrySeconds = 10;
    constexpr int s_clearingSeconds = 8;
    // A task that runs slower than this for so long makes room for others when
    // that loses less work than this.
    constexpr std::uint32_t s_idlePercent = 12;
    constexpr int s_idleSeconds = 120;
    constexpr double s_cheapSeconds = 30;

    // The most pressure that keeps the slowdown below the limit at this load.
    double pressureBudget(double load, double limit)
    {
        double low = 0;
        double high = 4;
        for (int i = 0; i < 30; ++i) {
            double middle = (low + high) / 2;
            (ClosedWorld::slowdownOf(load, middle) <= limit ? low : high) = middle;
        }
        return low;
    }

} // namespace

ClosedOracle::ClosedOracle(const ClosedWorld& world)
    : m_world(world)
    , m_blockedUntil(world.scenario().batchKinds.size())
{
}

void ClosedOracle::taskWaiting(const TaskRequest& request, TimePoint)
{
    std::size_t index = m_world.indexOf(request.task);
    if (request.isUrgent)
        m_urgent.push_back(index);
    else
        m_waiting[m_world.tasks()[index].scenario->kind].push_back(index);
}

Resources ClosedOracle::sizeOf(const ClosedTask& task) const
{
    const ScenarioTask& it = *task.scenario;
    return it.isService ? m_world.scenario().serviceKinds[it.kind].size : m_world.scenario().batchKinds[it.kind].used;
}

ClosedOracle::Mix ClosedOracle::mixOf(std::size_t worker, int loadSecond) const
{
    Mix mix;
    for (std::size_t it : m_world.tasksOn(worker)) {
        const ClosedTask& task = m_world.tasks()[it];
        if (!task.scenario->isService) {
            mix.batch.push_back({ it, static_cast<double>(std::min(task.reserved.millicores, sizeOf(task).millicores)), 1 });
            continue;
        }
        mix.services.push_back(it);
        mix.loads.push_back(m_world.scenario().load(*task.scenario, loadSecond));
    }
    return mix;
}

double ClosedOracle::solve(Mix& mix) const
{
    for (std::size_t i = 0; i < mix.services.size(); ++i)
        limitFor(mix, i);
    double cores = 0;
    for (const Member& it : mix.batch)
        cores += it.cores * it.share;
    return cores;
}

void ClosedOracle::limitFor(Mix& mix, std::size_t service) const
{
    std::size_t index = mix.services[service];
    const ServiceKind& kind = m_world.scenario().serviceKinds[m_world.tasks()[index].scenario->kind];
    double budget = pressureBudget(mix.loads[service], kind.slowdownLimit * s_margin);
    struct Pressed {
        Member* member;
        double pressure;
    };
    std::vector<Pressed> pressed;
    for (Member& it : mix.batch)
        pressed.push_back({ &it, m_world.pressure(index, it.task, mix.loads[service]) });
    // The least share of each is spent first: a task is never stopped altogether.
    for (const Pressed& it : pressed)
        budget -= it.pressure * ClosedWorld::pressureShare(s_leastShare);
    // Least pressure a core first: the fractional knapsack's optimum.
    std::sort(pressed.begin(), pressed.end(), [](const Pressed& a, const Pressed& b) { return a.pressure * b.member->cores < b.pressure * a.member->cores; });
    for (Pressed& it : pressed) {
        double least = it.pressure * ClosedWorld::pressureShare(s_leastShare);
        double affordable = it.pressure > 0 ? std::min(1.0, (std::max(0.0, budget) + least) / it.pressure) : 1;
        it.member->share = std::min(it.member->share, std::max(s_leastShare, ClosedWorld::speedOf(affordable)));
        budget -= it.pressure * ClosedWorld::pressureShare(it.member->share) - least;
    }
}

Plan ClosedOracle::plan(TimePoint)
{
    Plan plan;
    m_claimed.assign(m_world.scenario().workers.size(), {});
    throttle(plan);
    place(plan);
    evictIdle(plan);
    return plan;
}

void ClosedOracle::throttle(Plan& plan) const
{
    for (std::size_t worker = 0; worker < m_claimed.size(); ++worker) {
        Mix mix = mixOf(worker, m_world.second() + 1);
        solve(mix);
        for (const Member& it : mix.batch) {
            const ClosedTask& task = m_world.tasks()[it.task];
            auto percent = static_cast<std::uint32_t>(std::max(1.0, std::floor(100 * it.share)));
            if (percent != task.throttlePercent)
                plan.actions.push_back({ PolicyActionKind::Throttle, { task.scenario->id, task.attempt }, "", percent, EventId::TaskThrottled, "oracle" });
        }
    }
}

void ClosedOracle::evictIdle(Plan& plan)
{
    bool hasWaiting = std::any_of(m_waiting.begin(), m_waiting.end(), [](const auto& it) { return !it.second.empty(); });
    if (!hasWaiting || m_world.second() % s_retrySeconds)
        return;
    for (std::size_t worker = 0; worker < m_claimed.size(); ++worker) {
        for (std::size_t it : m_world.tasksOn(worker)) {
            const ClosedTask& task = m_world.tasks()[it];
            if (task.scenario->isService || task.phase != ClosedPhase::Running)
                continue;
            bool isIdle = task.throttlePercent < s_idlePercent && m_world.second() - task.startedAt > s_idleSeconds;
            bool isCheap = m_world.scenario().batchKinds[task.scenario->kind].canCheckpoint || task.doneSeconds - task.durableSeconds < s_cheapSeconds;
            if (isIdle && isCheap)
                plan.actions.push_back({ PolicyActionKind::Evict, { task.scenario->id, task.attempt }, "", 0, EventId::TaskEvicted, "oracle" });
        }
    }
}

void ClosedOracle::place(Plan& plan)
{
    for (std::size_t n = m_urgent.size(); n; --n) {
        std::size_t index = m_urgent.front();
        m_urgent.pop_front();
        if (!placeOne(index, plan) && !makeRoom(index, plan))
            m_urgent.push_back(index);
    }
    // Whichever kind's first task brings the largest share of its cores to work.
    while (true) {
        Choice best;
        std::deque<std::size_t>* bestQueue = nullptr;
        for (auto& [kind, queue] : m_waiting) {
            if (queue.empty() || m_blockedUntil[kind] > m_world.second())
                continue;
            if (m_world.scenario().batchKinds[kind].alwaysFails) {
                plan.impossible.push_back({ m_world.tasks()[queue.front()].scenario->id, EventId::TaskImpossible, "oracle" });
                queue.pop_front();
                continue;
            }
            Choice choice = choose(queue.front());
            if (choice.worker == m_claimed.size())
                m_blockedUntil[kind] = m_world.second() + s_retrySeconds;
            else if (!bestQueue || choice.gainShare > best.gainShare) {
                best = choice;
                bestQueue = &queue;
            }
        }
        if (!bestQueue)
            return;
        commit(bestQueue->front(), best.worker, plan);
        bestQueue->pop_front();
    }
}

ClosedOracle::Choice ClosedOracle::choose(std::size_t index) const
{
    const ClosedTask& task = m_world.tasks()[index];
    const ClosedScenario& scenario = m_world.scenario();
    Resources size = sizeOf(task);
    bool isPressing = task.scenario->isUrgent || task.scenario->isService;
    std::size_t best = m_claimed.size();
    double bestGain = isPressing ? -1e9 : s_leastGain * static_cast<double>(size.millicores);
    for (std::size_t worker = 0; worker < m_claimed.size(); ++worker) {
        const ScenarioWorker& it = scenario.workers[worker];
        bool fails = m_world.second() >= it.failsFrom && m_world.second() < it.failsTo && !task.scenario->isService;
        auto clearing = m_clearing.find(worker);
        bool isCleared = clearing != m_clearing.end() && clearing->second > m_world.second() && !isPressing;
        // One placement a worker and second, so that each sees the mix that it joins.
        if (fails || isCleared || m_claimed[worker] != Resources {} || !(m_world.reservedOn(worker) + size).fitsIn(it.capacity))
            continue;
        Mix mix = mixOf(worker, std::min(m_world.second() + s_lookAheadSeconds, scenario.seconds - 1));
        Mix joined = mix;
        if (task.scenario->isService) {
            joined.services.push_back(index);
            joined.loads.push_back(scenario.load(*task.scenario, m_world.second()));
        } else
            joined.batch.push_back({ index, static_cast<double>(size.millicores), 1 });
        double gain = solve(joined) - solve(mix);
        if (gain > bestGain) {
            bestGain = gain;
            best = worker;
        }
    }
    return { best, bestGain / static_cast<double>(size.millicores) };
}

void ClosedOracle::commit(std::size_t index, std::size_t worker, Plan& plan)
{
    const ClosedTask& task = m_world.tasks()[index];
    m_claimed[worker] = sizeOf(task);
    plan.placements.push_back({ task.scenario->id, m_world.scenario().workers[worker].name, m_claimed[worker], EventId::TaskPlaced, "oracle" });
}

bool ClosedOracle::placeOne(std::size_t index, Plan& plan)
{
    Choice choice = choose(index);
    if (choice.worker == m_claimed.size())
        return false;
    commit(index, choice.worker, plan);
    return true;
}

bool ClosedOracle::makeRoom(std::size_t index, Plan& plan)
{
    Resources size = sizeOf(m_world.tasks()[index]);
    for (std::size_t worker = 0; worker < m_claimed.size(); ++worker) {
        auto clearing = m_clearing.find(worker);
        if (clearing != m_clearing.end() && clearing->second > m_world.second())
            continue;
        Resources room = m_world.scenario().workers[worker].capacity - m_world.reservedOn(worker);
        std::vector<std::size_t> victims;
        for (std::size_t it : m_world.tasksOn(worker)) {
            const ClosedTask& task = m_world.tasks()[it];
            if (size.fitsIn(room) || task.scenario->isService || task.scenario->isUrgent)
                continue;
            room += task.reserved;
            victims.push_back(it);
        }
        if (victims.empty() || !size.fitsIn(room))
            continue;
        for (std::size_t it : victims) {
            const ClosedTask& task = m_world.tasks()[it];
            plan.actions.push_back({ PolicyActionKind::Evict, { task.scenario->id, task.attempt }, "", 0, EventId::TaskPreempted, "oracle" });
        }
        m_clearing[worker] = m_world.second() + s_clearingSeconds;
        break;
    }
    return false;
}

} // namespace plantainhold::bench
