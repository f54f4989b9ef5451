// The part of the scheduler that makes tasks stop or slow down: for a more urgent
// one, on a draining executor, or beside serving tasks that they press on.

#include "plantainhold/jobs/Eligibility.h"
#include "plantainhold/jobs/JobScheduler.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace plantainhold {

namespace {

    // A filling task at less than this pace for so long goes elsewhere.
    constexpr std::uint32_t s_slowPace = 50;
    constexpr Milliseconds s_slowPatience { 600 };
    constexpr Milliseconds s_preemptAfter { 40 };
    constexpr Milliseconds s_nominationLife { 3'000 };
    constexpr Milliseconds s_stopRepeat { 1'200 };
    constexpr Milliseconds s_drainReserve { 1'200 };
    // Work lost by stopping a task that saves checkpoints.
    constexpr Milliseconds s_checkpointLoss { 300 };

    // Work that stopping the run would throw away, in core-milliseconds.
    double lossOf(const ActiveRun& run, TimePoint now)
    {
        const StepSpec& spec = *run.task->step->spec;
        auto worked = std::chrono::duration_cast<Milliseconds>(now - run.assignedAt);
        if (spec.checkpoints)
            worked = std::min(worked, s_checkpointLoss);
        return static_cast<double>(worked.count() * spec.resources.millicores) / 1'000;
    }

    // Before all priorities that a queue can have.
    constexpr std::int32_t s_anyPriority = -1;

    bool isPreemptible(const ActiveRun& run, const ActiveTask& by)
    {
        const ActiveStep& step = *run.task->step;
        if (run.phase != RunPhase::Running || run.isStopWanted || step.spec->lasts || step.spec->isGang)
            return false;
        // A lasting task that ran before must be back soon, however full the executors are.
        if (by.step->spec->lasts)
            return by.lastRun > 0;
        return by.step->job().queue.priority < step.job().queue.priority;
    }

} // namespace

bool JobScheduler::preemptFor(ActiveTask& task, TimePoint now)
{
    if (task.nominated) {
        if (now - task.waitingSince < s_nominationLife)
            return true;
        clearNomination(task);
        task.waitingSince = now;
    }
    if (now - task.waitingSince < s_preemptAfter) {
        wakeAt(task.waitingSince + s_preemptAfter);
        m_needsPlacement = true;
        return false;
    }
    if (m_round.isRejected(task, PlacementRound::Means::Preemption))
        return false;
    ActiveStep& step = *task.step;
    Resources wanted = step.spec->reserved();
    std::int32_t after = step.spec->lasts ? s_anyPriority : step.job().queue.priority;
    ActiveExecutor* best = nullptr;
    std::vector<ActiveRun*> bestVictims;
    double bestLoss = std::numeric_limits<double>::max();
    for (ActiveExecutor* it : m_executorList) {
        // Where nobody has to stop, something else keeps the task away; and often all
        // that may be stopped would not be enough.
        Resources room = it->room();
        if (wanted.fitsIn(room) || !wanted.fitsIn(room + it->preemptibleAfter(after)) || !mayRun(*it, step, now))
            continue;
        std::vector<ActiveRun*> victims;
        for (ActiveRun* run : it->runs) {
            if (isPreemptible(*run, task))
                victims.push_back(run);
        }
        std::sort(victims.begin(), victims.end(), [&](const ActiveRun* a, const ActiveRun* b) { return lossOf(*a, now) < lossOf(*b, now); });
        double loss = 0;
        std::size_t n = 0;
        for (; n < victims.size() && !wanted.fitsIn(room); ++n) {
            room += victims[n]->task->step->spec->reserved();
            loss += lossOf(*victims[n], now);
        }
        if (!wanted.fitsIn(room) || loss >= bestLoss)
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
    best->nominated += wanted;
    for (ActiveRun* run : bestVictims) {
        ++m_counters.preemptions;
        m_runs.stopped(run->task->name(), run->number, best->entry.id, task.step->job().id);
        orderStop(*run, now);
    }
    return true;
}

void JobScheduler::clearNomination(ActiveTask& task)
{
    if (!task.nominated)
        return;
    task.nominated->nominated -= task.step->spec->reserved();
    task.nominated = nullptr;
}

void JobScheduler::orderStop(ActiveRun& run, TimePoint now)
{
    if (run.phase == RunPhase::Recording) {
        std::erase_if(m_starts, [&](const CommitBatch::Start& it) { return it.task == run.task->name(); });
        endRun(*run.task, now);
        return;
    }
    run.isStopWanted = true;
    run.isStopSent = true;
    run.stopSentAt = now;
    m_orders.push_back({ OrderKind::Stop, run.executor->entry.id, run.task->name(), run.number, nullptr, {}, {}, 0 });
    wakeAt(now + s_stopRepeat);
}

void JobScheduler::evacuate(TimePoint now)
{
    for (ActiveExecutor* executor : m_executorList) {
        std::vector<ActiveRun*> runs = executor->runs;
        for (ActiveRun* run : runs) {
            if (run->phase == RunPhase::Recording)
                continue;
            if (run->isStopWanted) {
                if (!run->isStopSent || now - run->stopSentAt >= s_stopRepeat)
                    orderStop(*run, now);
                wakeAt(run->stopSentAt + s_stopRepeat);
                continue;
            }
            if (!executor->entry.isDraining || run->phase != RunPhase::Running)
                continue;
            const StepSpec& spec = *run->task->step->spec;
            bool movesCheaply = spec.lasts || spec.checkpoints;
            if (movesCheaply || now >= executor->drainsUntil - s_drainReserve)
                orderStop(*run, now);
            else
                wakeAt(executor->drainsUntil - s_drainReserve);
        }
    }
}

void JobScheduler::steerPaces(ActiveExecutor& executor, TimePoint now)
{
    m_pacer.steer(executor, now);
    for (ActiveRun* run : executor.runs) {
        if (run->phase != RunPhase::Running || run->isStopWanted || !run->task->step->spec->fills())
            continue;
        if (run->wantedPace >= s_slowPace)
            run->slowSince = TimePoint::max();
        else if (run->slowSince == TimePoint::max())
            run->slowSince = now;
        if (run->orderedPace == run->wantedPace)
            continue;
        run->orderedPace = run->wantedPace;
        run->pacedAt = now;
        run->wasPaced = true;
        m_orders.push_back({ OrderKind::Pace, executor.entry.id, run->task->name(), run->number, nullptr, {}, {}, run->wantedPace });
    }
}

void JobScheduler::displaceSlowed(TimePoint now)
{
    for (ActiveExecutor* executor : m_executorList) {
        for (ActiveRun* run : executor->runs) {
            if (run->slowSince == TimePoint::max() || now - run->slowSince < s_slowPatience || run->isStopWanted)
                continue;
            if (!run->task->step->spec->checkpoints)
                continue;
            run->task->avoided = executor;
            run->slowSince = TimePoint::max();
            m_runs.stopped(run->task->name(), run->number, executor->entry.id, "serving neighbours");
            orderStop(*run, now);
        }
    }
}

} // namespace plantainhold
