// The part of JobScheduler that finds tasks which crash their executors, lets suspects run alone, and gives
// up the jobs of those that are convicted.

#include "plantainhold/jobs/JobScheduler.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace plantainhold {

namespace {

    // How long a suspect waits for an executor of its own, and for one where nothing has begun for a while.
    // After that it runs anywhere and keeps nobody away: a job may wait no longer than 3 s beside room.
    constexpr Milliseconds s_emptyWait { 500 };
    constexpr Milliseconds s_seclusionWait { 2'000 };
    // Longer than CrashCounts::s_soonLimit, so that a crash can be told from that of a run which began before.
    constexpr Milliseconds s_quietTime { 400 };
    // How long after its start a suspect keeps others from its executor at most, if no report shows sooner that it
    // has outlasted the moment after that.
    constexpr Milliseconds s_maxSeclusion { 1'500 };

    std::string_view nameOf(CrashRelation relation)
    {
        constexpr std::string_view s_names[] = { "none", "later", "soon", "soon_alone" };
        return s_names[static_cast<std::size_t>(relation)];
    }

    bool mayHaveBegun(const ActiveRun& run)
    {
        return run.wasSentHere() || run.phase >= RunPhase::Unconfirmed;
    }

    // Returns whether the run was at work for so long that it is no cause of a crash.
    bool isSound(const ActiveRun& run)
    {
        return run.isProven || run.executor->heardAt >= run.begunAt() + CrashCounts::s_soundAfter;
    }

    // Returns whether the start was sent shortly before the executor was heard last, or after that.
    bool isRecent(const ActiveRun& run)
    {
        return run.wasSentHere() && run.sentAt + CrashCounts::s_soonLimit >= run.executor->heardAt;
    }

    // Returns how the run relates to a crash of its executor; `isOnly` tells whether no other had begun soon before.
    CrashRelation crashRelation(const ActiveRun& run, bool isOnly)
    {
        bool hasBegun = run.phase == RunPhase::Running;
        if (isRecent(run) && hasBegun)
            return isOnly ? CrashRelation::SoonAlone : CrashRelation::Soon;
        // Of a start that nobody confirmed it is not known whether a run began; of one that a former owner sent,
        // neither when.
        bool isPossible = isRecent(run) || hasBegun || !run.wasSentHere();
        return isPossible ? CrashRelation::Later : CrashRelation::None;
    }

} // namespace

bool JobScheduler::awaitsSeclusion(const ActiveTask& task, TimePoint now)
{
    return task.crashes.isSuspect() && !task.step->spec->isGang && now < task.waitingSince + s_seclusionWait;
}

bool JobScheduler::isSecludedOn(const ActiveExecutor& executor, const ActiveTask& task, TimePoint now)
{
    if (!awaitsSeclusion(task, now) || executor.runs.empty())
        return true;
    if (now < task.waitingSince + s_emptyWait)
        return false;
    return std::all_of(executor.runs.begin(), executor.runs.end(), [&](const ActiveRun* it) { return it->phase == RunPhase::Running && now >= it->begunAt() + s_quietTime; });
}

void JobScheduler::markCrash(ActiveExecutor& executor, std::int64_t survivor, bool hasSuspect, bool hadExpiredRuns, TimePoint now)
{
    // What runs on an executor that leaves as announced ends with it.
    if (executor.entry.isDraining)
        return;
    std::vector<ActiveRun*> runs;
    std::copy_if(executor.runs.begin(), executor.runs.end(), std::back_inserter(runs), [survivor](const ActiveRun* it) { return mayHaveBegun(*it) && it->incarnation != survivor && it->crash == CrashRelation::None; });
    // Also if all runs are sound.
    bool isCrash = executor.reportedUnixMs || !runs.empty() || hadExpiredRuns;
    std::erase_if(runs, [](const ActiveRun* it) { return isSound(*it); });
    // A start that nobody confirmed may have begun and be the cause.
    hasSuspect = hasSuspect || std::any_of(runs.begin(), runs.end(), [](const ActiveRun* it) { return isRecent(*it) || it->task->crashes.hasOwn(); });
    std::ptrdiff_t begunSoon = std::count_if(runs.begin(), runs.end(), [](const ActiveRun* it) { return isRecent(*it) && it->phase == RunPhase::Running; });
    for (ActiveRun* it : runs)
        it->crash = crashRelation(*it, begunSoon == 1);
    if (!begunSoon && executor.reportedUnixMs)
        m_crashSeries.addUnexplained(now);
    if (isCrash && !hasSuspect)
        m_crashSeries.addWithoutSuspect(now);
}

void JobScheduler::countCrash(ActiveTask& task, const ExpiredRun& run, TimePoint now)
{
    task.crashes.add(run.crash);
    task.isSpared = false;
    bool isExplained = m_crashSeries.hasCommonCauseNear(now) || m_crashSeries.hasCommonCauseNear(run.lostAt);
    if (isExplained)
        task.crashes.explain(run.crash);
    m_events.note(EventId::TaskCrashedExecutor, { { "task", task.name().text() }, { "run", run.number }, { "executor", run.executor }, { "incarnation", run.incarnation }, { "relation", nameOf(run.crash) }, { "crashes", task.crashes.all }, { "soon", task.crashes.soon }, { "alone", task.crashes.alone }, { "explained", task.crashes.explained } });
    judgeLater(task, { task.name(), run.crash, isExplained, now });
    markDirty(task.step->job());
    settleIfTooMany(task, now);
}

void JobScheduler::judgeLater(ActiveTask& task, const Suspicion& suspicion)
{
    m_suspicions.push_back(suspicion);
    CrashCounts worst = task.crashes;
    worst.alone += suspicion.relation == CrashRelation::SoonAlone;
    if (!worst.isConvicted(m_crashSeries.hasUnexplained(suspicion.when)))
        return;
    // Other crashes of the same moment may not be known yet. The step's other suspects wait as well.
    task.notBefore = std::max(task.notBefore, suspicion.when + CrashSeries::s_after);
    task.step->verdictAt = task.notBefore;
}

void JobScheduler::noteExpired(ActiveExecutor& executor, ActiveRun& run, TimePoint now)
{
    if (isSound(run) || executor.entry.isDraining || run.crash != CrashRelation::None)
        return;
    ActiveTask& task = *run.task;
    executor.expiredRuns.push_back({ task.name(), run.number, executor.entry.id, run.incarnation, CrashRelation::Later, now, run.hasOutlastedStart });
    settleIfTooMany(task, now);
}

void JobScheduler::settleIfTooMany(ActiveTask& task, TimePoint now)
{
    // The executors may come back, and tell of their crashes, only after the next start.
    if (task.crashes.all >= CrashCounts::s_least && task.crashes.all + countExpiredOf(task) >= CrashCounts::s_limit)
        settleExpiredOf(task, now);
}

std::size_t JobScheduler::countExpiredOf(const ActiveTask& task) const
{
    const TaskName name = task.name();
    std::ptrdiff_t n = 0;
    for (const ActiveExecutor* executor : m_executorList)
        n += std::count_if(executor->expiredRuns.begin(), executor->expiredRuns.end(), [&](const ExpiredRun& it) { return it.task == name && !it.hasOutlastedStart; });
    return static_cast<std::size_t>(n);
}

void JobScheduler::settleExpiredOf(ActiveTask& task, TimePoint now)
{
    const TaskName name = task.name();
    std::vector<ExpiredRun> settled;
    for (ActiveExecutor* executor : m_executorList) {
        std::vector<ExpiredRun>& runs = executor->expiredRuns;
        auto begin = std::stable_partition(runs.begin(), runs.end(), [&](const ExpiredRun& it) { return it.task != name || it.hasOutlastedStart; });
        std::move(begin, runs.end(), std::back_inserter(settled));
        runs.erase(begin, runs.end());
    }
    for (const ExpiredRun& it : settled)
        countCrash(task, it, now);
}

std::unordered_map<std::string_view, std::vector<const ExpiredRun*>> JobScheduler::unsettledRunsByJob() const
{
    std::unordered_map<std::string_view, std::vector<const ExpiredRun*>> runs;
    if (m_dirty.empty())
        return runs;
    for (const ActiveExecutor* executor : m_executorList) {
        for (const ExpiredRun& it : executor->expiredRuns) {
            // A run that was at work for a while is no likely cause. After each loss of a group there are many such.
            if (!it.hasOutlastedStart)
                runs[it.task.job].push_back(&it);
        }
    }
    return runs;
}

void JobScheduler::addUnsettledRuns(JobProgress& progress, std::span<const ExpiredRun* const> runs)
{
    for (TaskProgress& task : progress.tasks) {
        for (const ExpiredRun* it : runs) {
            if (it->task.occurrence == task.occurrence && it->task.step == task.step && it->task.index == task.index)
                task.unsettledRuns.push_back({ it->number, it->executor, it->incarnation });
        }
        std::vector<UnsettledRun>& unsettled = task.unsettledRuns;
        std::sort(unsettled.begin(), unsettled.end(), [](const UnsettledRun& a, const UnsettledRun& b) { return a.run > b.run; });
        if (unsettled.size() > TaskProgress::s_maxUnsettledRuns)
            unsettled.resize(TaskProgress::s_maxUnsettledRuns);
    }
}

void JobScheduler::restoreUnsettledRuns(ActiveTask& task, const TaskProgress& progress, TimePoint now)
{
    for (const UnsettledRun& it : progress.unsettledRuns) {
        ActiveExecutor& executor = executorFor(it.executor, it.executorStartedUnixMs);
        executor.expiredRuns.push_back({ task.name(), it.run, it.executor, it.executorStartedUnixMs, CrashRelation::Later, now });
    }
    if (!progress.unsettledRuns.empty())
        settleIfTooMany(task, now);
}

bool JobScheduler::hasTaskWithOwnCrash(std::span<const ExpiredRun> runs)
{
    return std::any_of(runs.begin(), runs.end(), [&](const ExpiredRun& it) {
        auto found = m_jobs.find(it.task.job);
        ActiveTask* task = found == m_jobs.end() ? nullptr : found->second->find(it.task);
        return task && task->crashes.hasOwn();
    });
}

void JobScheduler::countExpired(ActiveExecutor& executor, std::int64_t survivor, TimePoint now)
{
    for (const ExpiredRun& it : std::exchange(executor.expiredRuns, {})) {
        auto found = m_jobs.find(it.task.job);
        ActiveTask* task = found == m_jobs.end() ? nullptr : found->second->find(it.task);
        if (!task || task->isDone || isFinal(found->second->state))
            continue;
        if (it.incarnation != survivor)
            countCrash(*task, it, now);
        else
            // The next owner must not take this run for one that it has to settle.
            markDirty(*found->second);
    }
}

void JobScheduler::judgeSuspects(TimePoint now)
{
    while (!m_suspicions.empty() && now >= m_suspicions.front().when + CrashSeries::s_after) {
        Suspicion suspicion = std::move(m_suspicions.front());
        m_suspicions.pop_front();
        auto found = m_jobs.find(suspicion.task.job);
        ActiveTask* task = found == m_jobs.end() ? nullptr : found->second->find(suspicion.task);
        if (!task || task->isDone || isFinal(found->second->state))
            continue;
        if (!suspicion.isExplained && m_crashSeries.hasCommonCauseNear(suspicion.when))
            explain(*task, suspicion.relation, now);
        bool isAlone = suspicion.relation == CrashRelation::SoonAlone && !m_crashSeries.hasUnexplainedNear(suspicion.when);
        task->crashes.alone += isAlone;
        if (task->crashes.isConvicted(m_crashSeries.hasUnexplained(now))) {
            giveUp(*task, now);
            continue;
        }
        // The next owner does not know of the other crashes.
        bool wasSpared = std::exchange(task->isSpared, task->crashes.isConvicted(false));
        if (isAlone || wasSpared != task->isSpared)
            markDirty(task->step->job());
    }
    if (!m_suspicions.empty())
        wakeAt(m_suspicions.front().when + CrashSeries::s_after);
}

void JobScheduler::explain(ActiveTask& task, CrashRelation relation, TimePoint now)
{
    // An end or some seconds of work may have cleared the task since.
    if (task.crashes == CrashCounts {})
        return;
    task.crashes.explain(relation);
    if (task.run && task.run->isSecluded && !task.crashes.isSuspect())
        endSeclusion(*task.run, "other executors crashed at the same moment", now);
    markDirty(task.step->job());
}

void JobScheduler::giveUp(ActiveTask& task, TimePoint now)
{
    ActiveJob& job = task.step->job();
    m_events.note(EventId::JobEnded, { { "job", job.id }, { "state", "failed" }, { "reason", "executors crashed under a task" }, { "task", task.name().text() }, { "crashes", task.crashes.all }, { "soon", task.crashes.soon }, { "alone", task.crashes.alone } });
    finish(job, JobState::Failed, now);
}

void JobScheduler::proveRun(ActiveRun& run, TimePoint now)
{
    clearSuspect(*run.task, now);
    if (run.isProven)
        return;
    run.isProven = true;
    // The next owner cannot know otherwise how long the run has been at work.
    markDirty(run.task->step->job());
}

void JobScheduler::clearSuspect(ActiveTask& task, TimePoint now)
{
    if (task.crashes == CrashCounts {})
        return;
    task.crashes = {};
    task.isSpared = false;
    markDirty(task.step->job());
    if (task.run && task.run->isSecluded)
        endSeclusion(*task.run, "the task is no suspect any more", now);
}

void JobScheduler::beginSeclusion(ActiveRun& run, TimePoint now)
{
    ActiveExecutor& executor = *run.executor;
    ++executor.secludedRuns;
    std::ptrdiff_t secluded = std::count_if(m_executorList.begin(), m_executorList.end(), [](const ActiveExecutor* it) { return it->secludedRuns > 0; });
    m_events.note(EventId::ExecutorSecluded, { { "executor", executor.entry.id }, { "task", run.task->name().text() }, { "waited_ms", std::chrono::duration_cast<Milliseconds>(now - run.task->waitingSince).count() }, { "beside", executor.runs.size() }, { "secluded", secluded }, { "executors", m_executorList.size() } });
}

void JobScheduler::endOverdueSeclusions(ActiveExecutor& executor, TimePoint now)
{
    if (!executor.secludedRuns)
        return;
    for (ActiveRun* it : executor.runs) {
        if (!it->isSecluded)
            continue;
        bool isAtWork = it->phase == RunPhase::Running && executor.heardAt >= it->begunAt() + s_quietTime;
        // A start that is not sent yet has no moment to outlast.
        TimePoint last = it->wasSentHere() ? it->sentAt + s_maxSeclusion : TimePoint::max();
        if (isAtWork || now >= last)
            endSeclusion(*it, isAtWork ? "the run has outlasted its start" : "its time is over", now);
        else
            wakeAt(last);
    }
}

void JobScheduler::endSeclusion(ActiveRun& run, std::string_view reason, TimePoint now)
{
    run.isSecluded = false;
    ActiveExecutor& executor = *run.executor;
    --executor.secludedRuns;
    noteChange(executor);
    m_needsPlacement = true;
    m_events.note(EventId::ExecutorShared, { { "executor", executor.entry.id }, { "task", run.task->name().text() }, { "secluded_ms", std::chrono::duration_cast<Milliseconds>(now - run.assignedAt).count() }, { "reason", reason } });
}

} // namespace plantainhold
