// The part of JobScheduler that stops or slows down runs: for a more urgent task, on a draining
// executor, or to protect latency-critical tasks.

#include "plantainhold/jobs/Eligibility.h"
#include "plantainhold/jobs/JobScheduler.h"

#include <algorithm>
#include <limits>
#include <optional>
#include <utility>

namespace plantainhold {

namespace {

    // A best-effort task whose pace is below this for so long is moved to another executor, if it
    // saves checkpoints.
    constexpr std::uint32_t s_slowPace = 50;
    constexpr Milliseconds s_slowedLimit { 600 };
    constexpr Milliseconds s_preemptAfter { 40 };
    constexpr Milliseconds s_nominationLifetime { 3'000 };
    constexpr Milliseconds s_drainReserve { 1'200 };
    // Upper bound of the work lost by stopping a task that saves checkpoints.
    constexpr Milliseconds s_checkpointLoss { 300 };

    // Returns the work that stopping the run would discard, in core-milliseconds.
    double lossOf(const ActiveRun& run, TimePoint now)
    {
        const StepSpec& spec = *run.task->step->spec;
        auto worked = std::chrono::duration_cast<Milliseconds>(now - run.assignedAt);
        if (spec.checkpoints)
            worked = std::min(worked, s_checkpointLoss);
        return static_cast<double>(worked.count() * spec.resources.millicores) / 1'000;
    }

    // Precedes all priorities that a queue can have.
    constexpr std::int32_t s_anyPriority = -1;

    bool isPreemptible(const ActiveRun& run, const ActiveTask& by)
    {
        const ActiveStep& step = *run.task->step;
        if (run.phase != RunPhase::Running || run.isStopRequested || step.spec->isLongRunning || step.spec->isGang)
            return false;
        // A long-running task that ran before must be restarted soon, however full the executors are.
        if (by.step->spec->isLongRunning)
            return by.lastRun > 0;
        return by.step->job().settings.priority < step.job().settings.priority;
    }

} // namespace

std::int32_t JobScheduler::preemptsAfter(const ActiveStep& step)
{
    return step.spec->isLongRunning ? s_anyPriority : step.job().settings.priority;
}

bool JobScheduler::preemptFor(ActiveTask& task, TimePoint now)
{
    if (task.nominated)
        return true;
    TimePoint preemptsFrom = std::max(task.waitingSince + s_preemptAfter, task.preemptsFrom);
    if (now < preemptsFrom) {
        wakeAt(preemptsFrom);
        m_needsPlacement = true;
        return false;
    }
    std::optional<std::uint64_t> rejectedIn = m_round.rejectedIn(task, PlacementRound::Means::Preemption);
    if (rejectedIn == m_round.number())
        return false;
    m_round.countSearch();
    ActiveStep& step = *task.step;
    Resources wanted = step.spec->reserved();
    std::int32_t after = preemptsAfter(step);
    ActiveExecutor* best = nullptr;
    std::vector<ActiveRun*> bestVictims;
    double bestLoss = std::numeric_limits<double>::max();
    for (ActiveExecutor* it : m_executorList) {
        // Skips executors with enough free capacity, where the task is kept away by something else;
        // and those where preempting everything eligible would not be enough.
        if (it->changedInRound < rejectedIn.value_or(0))
            continue;
        Resources freeCapacity = it->freeCapacity();
        Resources bound = freeCapacity;
        if (!wanted.fitsIn(bound += it->preemptibleTotal))
            continue;
        if (wanted.fitsIn(freeCapacity) || !wanted.fitsIn(freeCapacity + it->preemptibleAfter(after)) || !isEligible(*it, step, now))
            continue;
        std::vector<ActiveRun*> victims;
        for (ActiveRun* run : it->runs) {
            if (isPreemptible(*run, task))
                victims.push_back(run);
        }
        std::sort(victims.begin(), victims.end(), [&](const ActiveRun* a, const ActiveRun* b) { return lossOf(*a, now) < lossOf(*b, now); });
        double loss = 0;
        std::size_t n = 0;
        for (; n < victims.size() && !wanted.fitsIn(freeCapacity); ++n) {
            freeCapacity += victims[n]->task->step->spec->reserved();
            loss += lossOf(*victims[n], now);
        }
        if (!wanted.fitsIn(freeCapacity) || loss >= bestLoss)
            continue;
        best = it;
        bestLoss = loss;
        victims.resize(n);
        bestVictims = std::move(victims);
    }
    if (!best) {
        m_round.reject(task, PlacementRound::Means::Preemption);
        return false;
    }
    task.nominated = best;
    task.nominatedUntil = now + s_nominationLifetime;
    best->nominated += wanted;
    m_nominatedTasks.insert(&task);
    for (ActiveRun* run : bestVictims) {
        ++m_counters.preemptions;
        m_runEvents.stopped(run->task->name(), run->number, best->entry.id, task.step->job().id);
        requestStop(*run, now);
    }
    return true;
}

void JobScheduler::clearNomination(ActiveTask& task)
{
    if (!task.nominated)
        return;
    task.nominated->nominated -= task.step->spec->reserved();
    noteChange(*task.nominated);
    task.nominated = nullptr;
    task.nominatedUntil = {};
    m_nominatedTasks.erase(&task);
}

void JobScheduler::expireNominations(TimePoint now)
{
    std::vector<ActiveTask*> expired;
    for (ActiveTask* it : m_nominatedTasks) {
        if (now < it->nominatedUntil)
            wakeAt(it->nominatedUntil);
        else
            expired.push_back(it);
    }
    for (ActiveTask* it : expired) {
        m_events.note(EventId::NominationExpired, { { "task", it->name().text() }, { "executor", it->nominated->entry.id }, { "millicores", it->step->spec->reserved().millicores } });
        clearNomination(*it);
        // Others have their turn before room is freed for the task again.
        it->preemptsFrom = now + s_preemptAfter;
        m_needsPlacement = true;
    }
}

void JobScheduler::requestStop(ActiveRun& run, TimePoint now)
{
    if (run.phase == RunPhase::Recording) {
        std::erase_if(m_starts, [&](const CommitBatch::Start& it) { return it.task == run.task->name(); });
        endRun(*run.task, now);
        return;
    }
    run.executor->stoppingRuns += !run.isStopRequested;
    run.isStopRequested = true;
    run.isStopSent = true;
    run.stopSentAt = now;
    m_commands.push_back({ CommandKind::Stop, run.executor->entry.id, run.task->name(), run.number, nullptr, {}, {}, 0 });
    wakeAt(now + m_limits.stopRepeat);
}

void JobScheduler::drainExecutors(TimePoint now)
{
    for (ActiveExecutor* executor : m_executorList) {
        if (!executor->stoppingRuns && !executor->entry.isDraining)
            continue;
        std::vector<ActiveRun*> runs = executor->runs;
        for (ActiveRun* run : runs) {
            if (run->phase == RunPhase::Recording)
                continue;
            if (run->isStopRequested) {
                if (!run->isStopSent || now - run->stopSentAt >= m_limits.stopRepeat)
                    requestStop(*run, now);
                wakeAt(run->stopSentAt + m_limits.stopRepeat);
                continue;
            }
            if (!executor->entry.isDraining || run->phase != RunPhase::Running)
                continue;
            const StepSpec& spec = *run->task->step->spec;
            bool movesCheaply = spec.isLongRunning || spec.checkpoints;
            if (movesCheaply || now >= executor->drainsUntil - s_drainReserve)
                requestStop(*run, now);
            else
                wakeAt(executor->drainsUntil - s_drainReserve);
        }
    }
}

void JobScheduler::sendPaces(ActiveExecutor& executor, TimePoint now)
{
    m_pacer.updatePaces(executor, now);
    executor.hasSlowedRuns = false;
    for (ActiveRun* run : executor.runs) {
        if (run->phase != RunPhase::Running || run->isStopRequested || !run->task->step->spec->isBestEffort())
            continue;
        if (run->targetPace >= s_slowPace)
            run->slowedSince = TimePoint::max();
        else if (run->slowedSince == TimePoint::max())
            run->slowedSince = now;
        executor.hasSlowedRuns |= run->slowedSince != TimePoint::max();
        if (run->sentPace == run->targetPace)
            continue;
        run->sentPace = run->targetPace;
        run->pacedAt = now;
        run->wasPaced = true;
        m_commands.push_back({ CommandKind::Pace, executor.entry.id, run->task->name(), run->number, nullptr, {}, {}, run->targetPace });
    }
}

void JobScheduler::moveSlowedRuns(TimePoint now)
{
    for (ActiveExecutor* executor : m_executorList) {
        if (!executor->hasSlowedRuns)
            continue;
        for (ActiveRun* run : executor->runs) {
            if (run->slowedSince == TimePoint::max() || now - run->slowedSince < s_slowedLimit || run->isStopRequested)
                continue;
            if (!run->task->step->spec->checkpoints)
                continue;
            run->task->avoided = executor;
            run->slowedSince = TimePoint::max();
            m_runEvents.stopped(run->task->name(), run->number, executor->entry.id, "protects latency-critical tasks");
            requestStop(*run, now);
        }
    }
}

} // namespace plantainhold
