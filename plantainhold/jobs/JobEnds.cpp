// The part of JobScheduler that applies the ends of runs to tasks and jobs.

#include "plantainhold/jobs/JobScheduler.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace plantainhold {

namespace {

    // Factor by which each further end reduces the weight of earlier failures.
    constexpr double s_failureDecay = 0.8;
    constexpr double s_failureLimit = 2.5;
    constexpr Milliseconds s_failureAvoidance { 3'000 };
    // No more than one executor of a service in this many is avoided for its failures at a time, but one of two may
    // be: where more fail, the tasks are the likely cause, and others need the room.
    constexpr std::size_t s_executorsPerAvoidance = 3;
    constexpr double s_slownessSmoothing = 0.3;
    constexpr double s_minRatio = 0.1;

    std::string_view nameOf(EndKind kind)
    {
        constexpr std::string_view s_names[] = { "done", "failed", "stopped", "lease_lapsed", "gang_broken", "gang_incomplete" };
        return s_names[static_cast<std::size_t>(kind)];
    }

} // namespace

void JobScheduler::applyEnd(ActiveExecutor& executor, const ReportedEnd& end, TimePoint now)
{
    executor.endsApplied = end.number;
    ++m_counters.ends;
    auto it = m_jobs.find(end.task.job);
    ActiveTask* task = it == m_jobs.end() ? nullptr : it->second->find(end.task);
    if (task && task->run && task->run->executor == &executor && task->run->number == end.run)
        applyTaskEnd(*task, executor, end, now);
    else if (task && end.kind == EndKind::Done)
        applyEarlierCompletion(*task, executor, end, now);
    // The end changed what is stored of the job.
    if (it != m_jobs.end() && it->second->isDirty)
        it->second->unstoredEnds.push_back({ executor.entry.id, executor.entry.startedUnixMs, end.number });
}

void JobScheduler::applyEarlierCompletion(ActiveTask& task, const ActiveExecutor& executor, const ReportedEnd& end, TimePoint now)
{
    const StepSpec& spec = *task.step->spec;
    bool isOpen = !task.isDone && !task.wasDoneByEarlierRun && !isFinal(task.step->job().state);
    if (!isOpen || spec.isLongRunning || spec.isGang || end.run > task.lastRun)
        return;
    m_runEvents.ended(end.task, end.run, executor.entry.id, "done_although_given_up");
    task.wasDoneByEarlierRun = true;
    markDirty(task.step->job());
    if (!task.run)
        acceptEarlierCompletion(task);
    else if (!task.run->isStopRequested)
        requestStop(*task.run, now);
}

void JobScheduler::acceptEarlierCompletion(ActiveTask& task)
{
    task.step->markDone(task);
    clearNomination(task);
    refreshReady(*task.step);
    m_possiblyComplete.push_back(task.step->job().id);
}

// Completes jobs apart from the event that completed them, because this may end other runs of the job.
void JobScheduler::completeJobs(TimePoint now)
{
    for (const std::string& id : std::exchange(m_possiblyComplete, {})) {
        auto it = m_jobs.find(id);
        if (it == m_jobs.end() || isFinal(it->second->state))
            continue;
        ActiveJob& job = *it->second;
        for (auto& [number, occurrence] : job.occurrences)
            refreshOccurrence(occurrence);
        m_needsPlacement = true;
        if (!job.isDone())
            continue;
        m_events.note(EventId::JobEnded, { { "job", job.id }, { "state", "completed" } });
        finish(job, JobState::Completed, now);
    }
}

void JobScheduler::applyTaskEnd(ActiveTask& task, ActiveExecutor& executor, const ReportedEnd& end, TimePoint now)
{
    ActiveStep& step = *task.step;
    ActiveJob& job = step.job();
    bool isLongRunning = step.spec->isLongRunning;
    m_runEvents.ended(end.task, end.run, executor.entry.id, nameOf(end.kind));
    markStarted(job);
    if (!end.checkpoint.empty())
        task.run->checkpoint = end.checkpoint;
    bool wasStopWanted = task.run->isStopRequested;
    if (end.kind == EndKind::Done || end.kind == EndKind::Failed)
        clearSuspect(task, now);
    if (end.kind == EndKind::Done && !isLongRunning)
        learnDuration(task, executor, now);
    if (end.kind == EndKind::Done && !isLongRunning)
        step.spec->isGang ? step.markGangDone() : step.markDone(task);
    if (end.kind == EndKind::Done || wasStopWanted)
        executor.failureScore *= s_failureDecay;
    else if (end.kind == EndKind::Failed)
        recordFailure(executor, now);
    if (end.kind == EndKind::Failed && !isLongRunning && !wasStopWanted)
        task.avoided = &executor;
    // The failures of a gang are counted at its first member.
    ActiveTask* first = step.spec->isGang ? step.tasks.find(0) : nullptr;
    ActiveTask& counted = first ? *first : task;
    if (end.kind == EndKind::Failed && !isLongRunning)
        ++counted.failures;
    endRun(task, now);
    if (isFinal(job.state))
        return;
    bool isSpent = !isLongRunning && job.settings.areKnown() && counted.failures >= job.settings.maxAttempts;
    if (isSpent && !task.isDone) {
        m_events.note(EventId::JobEnded, { { "job", job.id }, { "state", "failed" }, { "task", end.task.text() }, { "failures", task.failures } });
        finish(job, JobState::Failed, now);
        return;
    }
    if (step.isDone()) {
        if (step.longestRun.count())
            m_prioritizer.learn(job.spec->queue, step.spec->estimateMs, step.longestRun);
        refreshOccurrence(*step.occurrence);
    }
    if (job.isDone()) {
        m_events.note(EventId::JobEnded, { { "job", job.id }, { "state", "completed" } });
        finish(job, JobState::Completed, now);
    }
}

void JobScheduler::learnDuration(const ActiveTask& task, ActiveExecutor& executor, TimePoint now)
{
    const ActiveRun& run = *task.run;
    // The duration of a run that was slowed down or resumed from a checkpoint says nothing about the task.
    if (run.wasPaced || !task.checkpoint.empty() || !task.step->spec->estimateMs)
        return;
    // What it would have taken near its data.
    auto took = std::chrono::duration_cast<Milliseconds>((now - run.assignedAt) / m_locality.stretchOn(executor, task));
    task.step->longestRun = std::max(task.step->longestRun, took);
    auto expected = m_prioritizer.expected(task.step->job().spec->queue, task.step->spec->estimateMs);
    double ratio = static_cast<double>(took.count()) / static_cast<double>(std::max<std::int64_t>(1, expected.count()));
    executor.slowness += s_slownessSmoothing * (std::log(std::max(ratio, s_minRatio)) - executor.slowness);
}

bool JobScheduler::mayAvoid(const ActiveExecutor& executor, TimePoint now) const
{
    std::size_t listed = 0;
    std::size_t avoided = 0;
    for (const ActiveExecutor* it : m_executorList) {
        if (!it->isListed || it->entry.service != executor.entry.service)
            continue;
        ++listed;
        avoided += it != &executor && now < it->avoidedUntil;
    }
    return listed > 1 && avoided < std::max<std::size_t>(1, listed / s_executorsPerAvoidance);
}

void JobScheduler::recordFailure(ActiveExecutor& executor, TimePoint now)
{
    executor.failureScore = executor.failureScore * s_failureDecay + 1;
    if (executor.failureScore < s_failureLimit || !mayAvoid(executor, now))
        return;
    executor.avoidedUntil = now + s_failureAvoidance;
    wakeAt(executor.avoidedUntil);
    m_events.note(EventId::ExecutorAvoided, { { "executor", executor.entry.id }, { "reason", "too many failed runs" }, { "score", executor.failureScore } });
    executor.failureScore = s_failureLimit / 2;
}

} // namespace plantainhold
