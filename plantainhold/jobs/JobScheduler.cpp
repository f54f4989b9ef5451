// The part of JobScheduler that follows jobs and their runs from one event to the next. Storage,
// placement, evictions, reports, ends, commands, leases, crashes and takeovers are in files of their own.

#include "plantainhold/jobs/JobScheduler.h"
#include "plantainhold/jobs/Eligibility.h"

#include <algorithm>

namespace plantainhold {

namespace {

    constexpr Milliseconds s_idleWake { 1'000 };
    // Minimum interval between two rounds of placement, so that changes close together are handled in one.
    constexpr Milliseconds s_placementInterval { 10 };
    // While tasks wait, a round follows after this time though nothing has asked for one: what kept a task
    // away may have passed with time alone.
    constexpr Milliseconds s_placementRetry { 500 };

} // namespace

JobScheduler::JobScheduler(const SchedulerLimits& limits, std::uint64_t generation, const OwnerTerm& former, EventSink& events, TimePoint now)
    : m_limits(limits)
    , m_events(events)
    , m_runEvents(events)
    , m_waitingTaskMonitor(events)
    , m_generation(generation << s_tokenBits)
    , m_lastToken(m_generation)
    , m_claimedAt(now)
    , m_former(former)
    , m_pacer(m_limits)
    , m_locality(m_limits.remoteFactor, m_prioritizer)
{
}

JobScheduler::~JobScheduler() = default;

void JobScheduler::configure(std::shared_ptr<const FleetConfig> config)
{
    m_config = std::move(config);
    for (auto& [id, job] : m_jobs)
        applySettings(*job);
    m_needsPlacement = true;
}

void JobScheduler::applySettings(ActiveJob& job)
{
    if (!m_config)
        return;
    const QueueSettings& settings = m_config->settingsFor(job.spec->queue, job.settings);
    if (&settings == &job.settings)
        return;
    bool areChanged = !settings.hasSameTerms(job.settings);
    job.settings = settings;
    if (!areChanged || isFinal(job.state))
        return;
    // The next owner may know a configuration only that no longer names the queue.
    markDirty(job);
    for (auto& [number, it] : job.occurrences)
        refreshOccurrence(it);
}

void JobScheduler::cancel(std::string_view id, TimePoint now)
{
    auto it = m_jobs.find(std::string(id));
    if (it == m_jobs.end() || isFinal(it->second->state))
        return;
    m_events.note(EventId::JobEnded, { { "job", id }, { "state", "cancelled" } });
    finish(*it->second, JobState::Cancelled, now);
}

void JobScheduler::finish(ActiveJob& job, JobState state, TimePoint now)
{
    for (auto& [number, occurrence] : job.occurrences) {
        for (ActiveStep& step : occurrence.steps)
            m_ready.erase(&step);
    }
    job.state = state;
    markDirty(job);
    for (auto& [number, occurrence] : job.occurrences) {
        for (ActiveStep& step : occurrence.steps) {
            for (ActiveTask& task : step.tasks.open()) {
                clearNomination(task);
                if (task.run)
                    requestStop(*task.run, now);
            }
        }
    }
    std::erase(m_timed, &job);
    if (m_finishedAt.try_emplace(job.id, now).second)
        m_finished.emplace(now + m_limits.finishedRetention, job.id);
}

void JobScheduler::openDueOccurrences(TimePoint now, std::int64_t nowUnixMs)
{
    for (ActiveJob* job : m_timed) {
        while (changeOpenOccurrences(*job, now, nowUnixMs))
            m_needsPlacement = true;
    }
}

bool JobScheduler::changeOpenOccurrences(ActiveJob& job, TimePoint now, std::int64_t nowUnixMs)
{
    const ActiveJob::Offer offer = job.offer();
    if (std::optional<std::uint32_t> resumed = job.occurrenceToResume(offer)) {
        refreshOccurrence(job.resume(*resumed));
        return true;
    }
    std::optional<std::uint32_t> next = job.nextOccurrence();
    Milliseconds waited { next ? nowUnixMs - job.spec->dueUnixMs(*next) : 0 };
    if (waited < Milliseconds(0))
        wakeAt(now - waited);
    if (next && waited >= Milliseconds(0) && job.wantsOccurrence(offer)) {
        // It may have been due for long, but this owner cannot tell what it waited for before.
        TimePoint since = waited < now - job.firstSeenAt ? now - waited : job.firstSeenAt;
        refreshOccurrence(job.openOccurrence(*next, since));
        return true;
    }
    ActiveOccurrence* idle = job.occurrenceToSuspend(offer);
    if (!idle)
        return false;
    for (ActiveStep& it : idle->steps)
        m_ready.erase(&it);
    job.suspend(idle->number);
    return true;
}

void JobScheduler::addRun(ActiveTask& task, ActiveExecutor& executor, RunPhase phase, TimePoint now)
{
    task.run = std::make_unique<ActiveRun>();
    ActiveRun& run = *task.run;
    run.task = &task;
    run.executor = &executor;
    run.phase = phase;
    run.token = executor.token;
    run.assignedAt = now;
    // What a former owner started has begun before.
    run.isSecluded = phase == RunPhase::Recording && awaitsSeclusion(task, now);
    if (run.isSecluded)
        beginSeclusion(run, now);
    run.progressedAt = now;
    run.checkpoint = task.checkpoint;
    const StepSpec& spec = *task.step->spec;
    executor.reserved += spec.reserved();
    run.priority = task.step->job().settings.priority;
    if (!spec.isLongRunning && !spec.isGang) {
        executor.preemptible[ActiveExecutor::priorityIndex(run.priority)] += spec.reserved();
        executor.preemptibleTotal += spec.reserved();
    }
    executor.runs.push_back(&run);
    executor.latencyCriticalRuns += spec.isLatencyCritical();
    executor.bestEffortRuns += spec.isBestEffort();
    executor.bestEffortMillicores += spec.isBestEffort() ? spec.resources.millicores : 0;
    executor.latencyCriticalMillicores += spec.isLatencyCritical() ? spec.resources.millicores : 0;
    ++task.step->placedTasks;
    ++task.step->occurrence->placedTasks;
    executor.areDeficitsStale = true;
    noteChange(executor);
}

void JobScheduler::endRun(ActiveTask& task, TimePoint now)
{
    ActiveRun& run = *task.run;
    if (run.isSecluded)
        endSeclusion(run, "the run is over", now);
    if (!run.checkpoint.empty())
        task.checkpoint = run.checkpoint;
    removeRun(task);
    task.waitingSince = now;
    if (task.wasDoneByEarlierRun && !task.isDone)
        acceptEarlierCompletion(task);
    markDirty(task.step->job());
    refreshReady(*task.step);
    m_needsPlacement = true;
}

void JobScheduler::removeRun(ActiveTask& task)
{
    ActiveRun& run = *task.run;
    ActiveExecutor& executor = *run.executor;
    const StepSpec& spec = *task.step->spec;
    executor.reserved -= spec.reserved();
    if (!spec.isLongRunning && !spec.isGang) {
        executor.preemptible[ActiveExecutor::priorityIndex(run.priority)] -= spec.reserved();
        executor.preemptibleTotal -= spec.reserved();
    }
    executor.latencyCriticalRuns -= spec.isLatencyCritical();
    executor.bestEffortRuns -= spec.isBestEffort();
    executor.bestEffortMillicores -= spec.isBestEffort() ? spec.resources.millicores : 0;
    executor.latencyCriticalMillicores -= spec.isLatencyCritical() ? spec.resources.millicores : 0;
    executor.secludedRuns -= run.isSecluded;
    executor.stoppingRuns -= run.isStopRequested;
    std::erase(executor.runs, &run);
    executor.areDeficitsStale = true;
    noteChange(executor);
    --task.step->placedTasks;
    --task.step->occurrence->placedTasks;
    task.run.reset();
}

void JobScheduler::refreshReady(ActiveStep& step)
{
    bool isReady = !isFinal(step.job().state) && step.job().settings.areKnown() && step.waitingTasks() > 0 && step.occurrence->isReady(step);
    if (isReady)
        m_ready.insert(&step);
    else
        m_ready.erase(&step);
}

void JobScheduler::refreshOccurrence(ActiveOccurrence& occurrence)
{
    for (ActiveStep& it : occurrence.steps)
        refreshReady(it);
}

void JobScheduler::markStarted(ActiveJob& job)
{
    if (job.hasStarted)
        return;
    job.hasStarted = true;
    markDirty(job);
}

void JobScheduler::markDirty(ActiveJob& job)
{
    if (job.isDirty)
        return;
    job.isDirty = true;
    m_dirty.push_back(&job);
}

TimePoint JobScheduler::advance(TimePoint now, std::int64_t nowUnixMs)
{
    m_wakeAt = now + s_idleWake;
    m_runEvents.flushIfDue(now);
    m_sharedExecutors = std::count_if(m_executorList.begin(), m_executorList.end(), [](const ActiveExecutor* it) { return it->isShared(); });
    openDueOccurrences(now, nowUnixMs);
    expireLeases(now);
    judgeSuspects(now);
    for (ActiveExecutor* it : m_executorList)
        endOverdueSeclusions(*it, now);
    completeJobs(now);
    expireNominations(now);
    drainExecutors(now);
    moveSlowedRuns(now);
    bool isRetryDue = !m_ready.empty() && now >= m_placedAt + s_placementRetry;
    m_needsPlacement = m_needsPlacement || now >= m_placeAgainAt || isRetryDue;
    if (m_needsPlacement && now >= m_placedAt + s_placementInterval) {
        m_placedAt = now;
        place(now);
    } else if (m_needsPlacement) {
        wakeAt(m_placedAt + s_placementInterval);
    }
    if (!m_ready.empty())
        wakeAt(m_placedAt + s_placementRetry);
    reportStalledTasks(now);
    if (m_placeAgainAt != TimePoint::max())
        wakeAt(std::max(m_placeAgainAt, now + s_placementInterval));
    forgetDroppedJobs(now);
    while (!m_finished.empty() && m_finished.begin()->first <= now) {
        m_dropped.push_back(std::move(m_finished.begin()->second));
        m_finished.erase(m_finished.begin());
    }
    return m_wakeAt;
}

void JobScheduler::wakeAt(TimePoint when)
{
    m_wakeAt = std::min(m_wakeAt, when);
}

std::vector<ExecutorCommand> JobScheduler::takeCommands()
{
    return std::exchange(m_commands, {});
}

const ActiveExecutor* JobScheduler::executor(std::string_view id) const
{
    auto it = m_executors.find(std::string(id));
    return it == m_executors.end() ? nullptr : it->second.get();
}

std::vector<std::string> JobScheduler::executorIds() const
{
    std::vector<std::string> ids;
    for (const ActiveExecutor* it : m_executorList)
        ids.push_back(it->entry.id);
    return ids;
}

void JobScheduler::logState(TimePoint now) const
{
    Resources capacity;
    Resources reserved;
    Resources nominated;
    std::size_t open = 0;
    std::size_t runs = 0;
    std::uint64_t pace = 0;
    std::uint64_t bestEffortRuns = 0;
    std::uint64_t bestEffortMillicores = 0;
    double tail = 0;
    std::size_t secluded = 0;
    for (const ActiveExecutor* it : m_executorList) {
        secluded += it->secludedRuns > 0;
        capacity += it->entry.capacity;
        reserved += it->reserved;
        nominated += it->nominated;
        open += workObstacle(*it, now) == PlacementObstacle::None;
        runs += it->runs.size();
        for (const ActiveRun* run : it->runs) {
            if (!run->task->step->spec->isBestEffort())
                continue;
            pace += run->sentPace;
            ++bestEffortRuns;
        }
        bestEffortMillicores += static_cast<std::uint64_t>(it->bestEffortMillicores);
        tail = std::max(tail, it->worstTailRatio);
    }
    const KeptState kept = this->kept();
    std::size_t waitingLongRunning = 0;
    for (const ActiveStep* it : m_ready)
        waitingLongRunning += it->spec->isLongRunning ? it->waitingTasks() : 0;
    m_events.note(EventId::PartitionState, { { "executors", m_executorList.size() }, { "accepting", open }, { "secluded", secluded }, { "jobs", kept.jobs }, { "occurrences", kept.occurrences }, { "suspended_occurrences", kept.suspendedOccurrences }, { "task_objects", kept.tasks }, { "runs", runs }, { "waiting", waitingTasks() }, { "waiting_lasting", waitingLongRunning }, { "capacity_millicores", capacity.millicores }, { "reserved_millicores", reserved.millicores }, { "filling_millicores", bestEffortMillicores }, { "nominated_millicores", nominated.millicores }, { "capacity_mib", capacity.memoryMib }, { "reserved_mib", reserved.memoryMib }, { "mean_pace", bestEffortRuns ? pace / bestEffortRuns : 100 }, { "worst_tail_ratio", tail }, { "rack_runs", m_counters.rackRuns }, { "remote_runs", m_counters.remoteRuns }, { "rack_waits", m_counters.rackWaits }, { "rack_wait_ms", m_counters.rackWaitMs }, { "rack_waits_in_vain", m_counters.rackWaitsInVain } });
}

KeptState JobScheduler::kept() const
{
    KeptState kept { m_jobs.size(), 0, 0, 0 };
    for (const auto& [id, job] : m_jobs) {
        kept.occurrences += job->occurrences.size();
        kept.suspendedOccurrences += job->suspendedOccurrences.size();
        kept.tasks += job->openTasks();
    }
    return kept;
}

std::size_t JobScheduler::waitingTasks() const
{
    std::size_t n = 0;
    for (const ActiveStep* it : m_ready)
        n += it->waitingTasks();
    return n;
}

} // namespace plantainhold
