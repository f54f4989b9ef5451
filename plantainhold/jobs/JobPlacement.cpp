// The part of JobScheduler that chooses the executor of each task.

#include "plantainhold/jobs/Eligibility.h"
#include "plantainhold/jobs/JobScheduler.h"
#include "plantainhold/jobs/PlacementCost.h"

#include <algorithm>
#include <array>
#include <boost/algorithm/cxx11/all_of.hpp>
#include <boost/algorithm/cxx11/any_of.hpp>
#include <cmath>
#include <iterator>
#include <limits>
#include <utility>

namespace plantainhold {

namespace {

    // Weights beside those of PlacementCost.cpp, in the same unit.
    // Cost of pressure that exceeds the headroom, where a starved task is placed despite it.
    constexpr double s_excessWeight = 250;
    // Weight of the total pressure, even if it can be borne now: the load of a latency-critical
    // task varies during the run of a best-effort one.
    constexpr double s_pressureWeight = 200;
    // A best-effort job without a running task for this long gets one task placed despite the
    // pressure, on an executor with few other best-effort runs; but not while most of the capacity
    // is reserved, when such runs would slow down many callers and get nowhere. A long-running task that
    // never ran waits as long for short tasks while most of the capacity is free.
    constexpr Milliseconds s_starvedAfter { 1'500 };
    constexpr std::uint32_t s_starvedNeighbours = 1;
    // If no such executor is found within this time after that, it gets one beside any number of best-effort runs: these reserve
    // nothing, and each job with nothing running has a claim to a share of what is left over.
    constexpr Milliseconds s_crowdedAfter { 500 };
    // Interval at which an executor without runs is sought for a suspect.
    constexpr Milliseconds s_seclusionRetry { 50 };
    // Searches through all executors in one round, and those of them that go to the steps in order of urgency:
    // steps that find no executor must not keep others from their turn for ever.
    constexpr std::size_t s_searchesPerRound = 400;
    constexpr std::size_t s_searchesInOrder = 200;
    // Interval between rounds that look at all executors for all tasks. In between, a task whose like was
    // rejected before is only tried on executors that have changed.
    constexpr Milliseconds s_completeInterval { 200 };
    // Delay before the next round if this one did not reach all steps.
    constexpr Milliseconds s_nextTurns { 100 };

} // namespace

void JobScheduler::place(TimePoint now)
{
    m_needsPlacement = false;
    m_placeAgainAt = TimePoint::max();
    bool isComplete = now >= m_placedAllAt + s_completeInterval;
    if (isComplete)
        m_placedAllAt = now;
    m_round.begin(isComplete ? PlacementRound::Extent::Complete : PlacementRound::Extent::Changes);
    // What no executor can run takes no turn from others.
    std::vector<ActiveStep*> steps;
    std::copy_if(m_ready.begin(), m_ready.end(), std::back_inserter(steps), [&](const ActiveStep* it) { return !it->job().isHeld(now) && canRunSomewhere(*it, m_executorList); });
    m_load.update(m_executorList, steps, now);
    m_prioritizer.sort(steps, now);
    m_locality.beginRound(m_executorList, m_executorsVersion);
    auto next = steps.begin();
    for (; next != steps.end() && m_round.searches() < s_searchesInOrder; ++next)
        consider(**next, now);
    // What the steps before them leave of the round goes to those that have waited longest for a turn.
    std::stable_sort(next, steps.end(), [](const ActiveStep* a, const ActiveStep* b) { return a->consideredAt < b->consideredAt; });
    for (; next != steps.end() && m_round.searches() < s_searchesPerRound; ++next)
        consider(**next, now);
    if (next != steps.end())
        m_placeAgainAt = std::min(m_placeAgainAt, now + s_nextTurns);
}

void JobScheduler::consider(ActiveStep& step, TimePoint now)
{
    step.consideredAt = now;
    const ActiveTask* waiting = step.firstWaiting();
    TimePoint starved = waiting ? starvedSince(*waiting) : TimePoint::max();
    if (!waiting && step.tasks.untouched())
        starved = starvedSince(step.tasks.nextUntouched());
    if (now < starved)
        m_placeAgainAt = std::min(m_placeAgainAt, starved);
    else if (now < starved + s_crowdedAfter)
        m_placeAgainAt = std::min(m_placeAgainAt, starved + s_crowdedAfter);
    bool needsAdvice = step.job().settings.needsAdvice;
    if (!needsAdvice || step.advice.hasTicket(now))
        step.spec->isGang ? placeGang(step, now) : placeStep(step, now);
    if (needsAdvice && step.waitingTasks())
        requestAdvice(step, now);
}

void JobScheduler::placeStep(ActiveStep& step, TimePoint now)
{
    m_candidates.clear();
    // Whether a task that never ran, or one that did, found no executor. Others like it will not either, unless
    // capacity is held for them.
    std::array<bool, 2> isRejected {};
    std::size_t waiting = 0;
    auto tryTask = [&](ActiveTask& task) {
        bool hasRun = task.lastRun > 0;
        if (task.isWaiting() && (!isRejected[hasRun] || task.nominated))
            isRejected[hasRun] = !placeOrAwait(task, now);
        waiting += task.isWaiting() && !hasRun;
    };
    for (ActiveTask& it : step.tasks.open())
        tryTask(it);
    while (!isRejected[0] && step.tasks.untouched() && waiting < step.maxWaitingObjects())
        tryTask(step.tasks.openNext());
    step.tasks.closeUntouched();
}

bool JobScheduler::placeOrAwait(ActiveTask& task, TimePoint now)
{
    const ActiveStep& step = *task.step;
    if (task.notBefore > now) {
        wakeAt(task.notBefore);
        m_needsPlacement = true;
        return true;
    }
    bool wantsSeclusion = awaitsSeclusion(task, now);
    bool isHeldBack = wantsSeclusion && (step.hasSecludedRun() || now < step.verdictAt || !m_load.maySeclude(step.job().settings.service));
    if (!isHeldBack && placeTask(task, now))
        return true;
    // There is room elsewhere, so nothing is preempted for it.
    if (task.passesOverUntil > now) {
        m_placeAgainAt = std::min(m_placeAgainAt, task.passesOverUntil);
        return true;
    }
    if (wantsSeclusion) {
        m_placeAgainAt = std::min(m_placeAgainAt, now + s_seclusionRetry);
        return true;
    }
    // Runs that were stopped before they started may have freed capacity.
    m_candidates.clear();
    return preemptFor(task, now);
}

void JobScheduler::placeGang(ActiveStep& step, TimePoint now)
{
    m_candidates.clear();
    // All members of a gang are placed together or not at all, under one run number.
    std::uint32_t run = 0;
    std::string checkpoint;
    for (const ActiveTask& it : step.tasks.open()) {
        if (it.run)
            return;
        run = std::max(run, it.lastRun);
        checkpoint = std::max(checkpoint, it.checkpoint);
    }
    if (boost::algorithm::any_of(step.tasks.open(), [&](const ActiveTask& it) { return it.notBefore > now; }))
        return;
    m_locality.chooseRack(step, now);
    if (!assignGang(step, now)) {
        step.tasks.closeUntouched();
        return;
    }
    for (ActiveTask& it : step.tasks.open()) {
        it.lastRun = run;
        it.checkpoint = checkpoint;
        it.run->checkpoint = checkpoint;
        recordRun(it, now);
    }
}

bool JobScheduler::assignGang(ActiveStep& step, TimePoint now)
{
    bool areAssigned = boost::algorithm::all_of(step.tasks.open(), [&](ActiveTask& it) { return assignExecutor(it, now); });
    while (areAssigned && step.tasks.untouched())
        areAssigned = assignExecutor(step.tasks.openNext(), now);
    if (areAssigned)
        return true;
    for (ActiveTask& it : step.tasks.open()) {
        if (!it.run)
            continue;
        const ActiveExecutor& executor = *it.run->executor;
        m_load.remove(executor);
        removeRun(it);
        m_load.add(executor);
    }
    return false;
}

TimePoint JobScheduler::starvedSince(const ActiveTask& task) const
{
    const ActiveStep& step = *task.step;
    bool isBestEffort = step.spec->isBestEffort() && !step.occurrence->placedTasks;
    if (isBestEffort && !m_load.isMostlyReserved(step.job().settings.service))
        return task.waitingSince + s_starvedAfter;
    // A long-running task that never ran gives way to short tasks only while there are many of them.
    bool isNew = step.spec->isLongRunning && !task.lastRun;
    if (isNew && m_load.isMostlyFree(step.job().settings.service))
        return task.waitingSince + s_starvedAfter;
    return TimePoint::max();
}

PlacementNeeds JobScheduler::needsOf(const ActiveTask& task, TimePoint now)
{
    const StepSpec& spec = *task.step->spec;
    PlacementNeeds needs { spec.reserved(), 0, std::nullopt, false, s_starvedNeighbours };
    if (TimePoint starved = starvedSince(task); starved != TimePoint::max()) {
        needs.isStarved = now >= starved;
        if (now >= starved + s_crowdedAfter)
            needs.maxNeighbours = std::numeric_limits<std::uint32_t>::max();
    }
    if (spec.isBestEffort()) {
        needs.pressure = m_pacer.meanPressure(spec);
        needs.load = m_pacer.loadOf(spec);
    }
    return needs;
}

Resources JobScheduler::freeCapacityFor(const ActiveExecutor& executor, const ActiveTask& task, const PlacementNeeds& needs)
{
    Resources freeCapacity = executor.freeCapacity();
    if (task.nominated == &executor)
        freeCapacity += needs.wanted;
    return freeCapacity;
}

bool JobScheduler::isStarvedOn(const ActiveExecutor& executor, const PlacementNeeds& needs)
{
    return needs.isStarved && executor.bestEffortRuns <= needs.maxNeighbours;
}

PlacementObstacle JobScheduler::obstacleOn(const ActiveExecutor& executor, const ActiveTask& task, const PlacementNeeds& needs, TimePoint now) const
{
    const StepSpec& spec = *task.step->spec;
    if (!needs.wanted.fitsIn(freeCapacityFor(executor, task, needs)))
        return PlacementObstacle::NoRoom;
    if (PlacementObstacle obstacle = eligibilityObstacle(executor, *task.step, now); obstacle != PlacementObstacle::None)
        return obstacle;
    if (!isSecludedOn(executor, task, now))
        return PlacementObstacle::NotAlone;
    if (spec.isBestEffort() && !isStarvedOn(executor, needs) && bestEffortLoad(executor, spec) > s_bestEffortLoadLimit)
        return PlacementObstacle::BestEffortLoad;
    // A long-running task that never ran leaves capacity to short tasks, which are worth more per core.
    bool isLeftToShortTasks = spec.isLongRunning && !task.lastRun && !needs.isStarved && !m_load.leavesRoomForShortTasks(executor, needs.wanted);
    return isLeftToShortTasks ? PlacementObstacle::RoomForShortTasks : PlacementObstacle::None;
}

BestEffortPacer::Pressure JobScheduler::pressureOn(ActiveExecutor& executor, const PlacementNeeds& needs)
{
    return needs.load ? m_pacer.pressureOn(executor, *needs.load) : BestEffortPacer::Pressure();
}

std::optional<double> JobScheduler::placementCost(ActiveExecutor& executor, const ActiveTask& task, const PlacementNeeds& needs, TimePoint now)
{
    if (obstacleOn(executor, task, needs, now) != PlacementObstacle::None)
        return std::nullopt;
    BestEffortPacer::Pressure pressure = pressureOn(executor, needs);
    if (pressure.excess > 0 && !isStarvedOn(executor, needs))
        return std::nullopt;
    bool isNominated = task.nominated == &executor;
    double sum = isNominated ? -1 : costWithoutPressure(executor, task, freeCapacityFor(executor, task, needs), needs.pressure);
    return sum + s_excessWeight * pressure.excess + s_pressureWeight * pressure.largest;
}

void JobScheduler::reportStalledTasks(TimePoint now)
{
    auto explain = [&](ActiveExecutor& executor, const ActiveTask& task) {
        PlacementNeeds needs = needsOf(task, now);
        PlacementObstacle obstacle = obstacleOn(executor, task, needs, now);
        if (obstacle != PlacementObstacle::None)
            return obstacle;
        bool isPressured = pressureOn(executor, needs).excess > 0 && !isStarvedOn(executor, needs);
        return isPressured ? PlacementObstacle::Pressure : PlacementObstacle::None;
    };
    m_waitingTaskMonitor.check(m_ready, m_executorList, explain, m_needsPlacement, now);
}

// Tasks without special conditions share the candidates of their step; for others, a search of
// their own is made.
ActiveExecutor* JobScheduler::chooseExecutor(const ActiveTask& task, std::uint64_t changedSince, TimePoint now)
{
    PlacementNeeds needs = needsOf(task, now);
    auto evaluate = [&](std::size_t i) -> std::optional<double> {
        ActiveExecutor& executor = *m_executorList[i];
        if (executor.changedInRound < changedSince)
            return std::nullopt;
        return placementCost(executor, task, needs, now);
    };
    bool isReturning = task.step->spec->isLongRunning && task.lastRun;
    bool isPlain = !task.nominated && !task.avoided && !needs.isStarved && !isReturning && !task.crashes.isSuspect();
    PlacementCandidates own;
    PlacementCandidates& candidates = isPlain ? m_candidates : own;
    if (!candidates.isBuilt()) {
        m_round.countSearch();
        candidates.build(m_executorList.size(), evaluate);
    }
    std::optional<PlacementCandidates::Choice> choice = candidates.best(evaluate);
    return choice ? m_executorList[choice->index] : nullptr;
}

bool JobScheduler::placeTask(ActiveTask& task, TimePoint now)
{
    if (!assignExecutor(task, now))
        return false;
    recordRun(task, now);
    return true;
}

bool JobScheduler::assignExecutor(ActiveTask& task, TimePoint now)
{
    task.passesOverUntil = {};
    bool isStarved = now >= starvedSince(task);
    bool wantsSeclusion = awaitsSeclusion(task, now);
    std::optional<std::uint64_t> rejectedIn;
    if (!task.nominated && !isStarved && !wantsSeclusion)
        rejectedIn = m_round.rejectedIn(task, PlacementRound::Means::FreeCapacity);
    if (rejectedIn == m_round.number())
        return false;
    ActiveExecutor* best = chooseExecutor(task, rejectedIn.value_or(0), now);
    if (!best) {
        if (!task.nominated && !wantsSeclusion)
            m_round.reject(task, PlacementRound::Means::FreeCapacity);
        return false;
    }
    // A starved task has waited long enough: room elsewhere now is better than near room later.
    if (!isStarved && m_locality.passesOver(task, *best, now))
        return false;
    // The capacity held for the task becomes available to other tasks of its step.
    if (task.nominated)
        m_candidates.clear();
    clearNomination(task);
    m_load.remove(*best);
    addRun(task, *best, RunPhase::Recording, now);
    m_load.add(*best);
    return true;
}

void JobScheduler::recordRun(ActiveTask& task, TimePoint now)
{
    ActiveStep& step = *task.step;
    ActiveJob& job = step.job();
    task.run->number = ++task.lastRun;
    job.wasPlaced = true;
    job.state = JobState::Running;
    markDirty(job);
    m_starts.push_back({ task.name(), task.lastRun });
    ++m_counters.runsAssigned;
    m_locality.noteStart(task, m_counters, now);
    m_runEvents.assigned(task.name(), task.lastRun, task.run->executor->entry.id, std::chrono::duration_cast<Milliseconds>(now - task.waitingSince));
    refreshReady(step);
}

} // namespace plantainhold
