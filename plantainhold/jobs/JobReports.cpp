// The part of JobScheduler that processes what executors send: entries, reports, results of
// commands; and leases that expire.

#include "plantainhold/jobs/JobScheduler.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace plantainhold {

namespace {

    // Safety margin added to every computed end of a lease.
    constexpr Milliseconds s_leaseMargin { 50 };
    constexpr Milliseconds s_insufficientCapacityDelay { 300 };
    constexpr Milliseconds s_unavailableDelay { 1'000 };
    // How long an executor is polled for the ends of runs that were given up.
    constexpr Milliseconds s_uncertainTime { 8'000 };
    constexpr Milliseconds s_invalidDelay { 2'000 };
    // Factor by which each further end reduces the weight of earlier failures.
    constexpr double s_failureDecay = 0.8;
    constexpr double s_failureLimit = 2.5;
    constexpr Milliseconds s_failureAvoidance { 3'000 };
    constexpr double s_slownessSmoothing = 0.3;
    constexpr double s_minRatio = 0.1;

    std::string rackOf(const ExecutorEntry& entry)
    {
        // The labels are the kind and the rack, in this order; names of racks begin with "r".
        return entry.labels.empty() ? std::string() : entry.labels.back();
    }

    std::string_view nameOf(EndKind kind)
    {
        constexpr std::string_view s_names[] = { "done", "failed", "stopped", "lease_lapsed", "gang_broken", "gang_incomplete" };
        return s_names[static_cast<std::size_t>(kind)];
    }

} // namespace

void JobScheduler::executorListed(const ExecutorEntry& entry, TimePoint now)
{
    ActiveExecutor& executor = executorFor(entry.id, entry.startedUnixMs);
    if (entry.startedUnixMs < executor.entry.startedUnixMs)
        return;
    if (entry.startedUnixMs > executor.entry.startedUnixMs)
        handleRestart(executor, entry.startedUnixMs, now);
    bool hasChanged = !executor.isListed || executor.entry.isDraining != entry.isDraining || executor.entry.capacity != entry.capacity || executor.entry.address != entry.address;
    if (entry.isDraining && (!executor.entry.isDraining || !executor.isListed))
        executor.drainsUntil = now + Milliseconds(entry.remainingMs);
    if (hasChanged)
        m_events.note(EventId::ExecutorChanged, { { "executor", entry.id }, { "address", entry.address }, { "draining", entry.isDraining }, { "millicores", entry.capacity.millicores } });
    executor.entry = entry;
    executor.rack = rackOf(entry);
    executor.isListed = true;
    m_executorsVersion += hasChanged;
    m_needsPlacement = m_needsPlacement || hasChanged;
}

void JobScheduler::executorUnlisted(std::string_view id, TimePoint now)
{
    auto it = m_executors.find(std::string(id));
    if (it == m_executors.end() || !it->second->isListed)
        return;
    it->second->isListed = false;
    m_events.note(EventId::ExecutorUnlisted, { { "executor", id }, { "runs", it->second->runs.size() } });
    wakeAt(std::max(now, it->second->leaseExpiresAt));
}

std::int64_t JobScheduler::extendLease(ActiveExecutor& executor, TimePoint now)
{
    auto elapsed = std::chrono::duration_cast<Milliseconds>(now - executor.clockReadAt);
    std::int64_t deadline = executor.clockMs + (elapsed + m_limits.lease).count();
    // A slow clock reaches the deadline later, so our estimate allows for the maximum drift.
    double longest = static_cast<double>((elapsed + m_limits.lease).count()) / (1 - m_limits.clockDrift);
    executor.leaseExpiresAt = std::max(executor.leaseExpiresAt, executor.clockReadAt + Milliseconds(static_cast<std::int64_t>(longest)) + s_leaseMargin);
    return deadline;
}

bool JobScheduler::isIdle(std::string_view id) const
{
    const ActiveExecutor* executor = this->executor(id);
    return executor && executor->runs.empty() && executor->strayRuns.empty() && executor->isConfirmed() && !executor->failedCalls && executor->endsAcknowledged == executor->endsApplied;
}

Milliseconds JobScheduler::reportWait(const ActiveExecutor& executor) const
{
    if (!executor.isShared())
        return m_limits.reportWait;
    auto shared = std::count_if(m_executorList.begin(), m_executorList.end(), [](const ActiveExecutor* it) { return it->isShared(); });
    Milliseconds fairShare { 1'000 * shared / m_limits.maxSharedReportsPerSecond };
    return std::clamp(fairShare, m_limits.sharedReportWait, m_limits.reportWait);
}

std::optional<ReportRequest> JobScheduler::nextReport(std::string_view id, TimePoint now)
{
    auto it = m_executors.find(std::string(id));
    if (it == m_executors.end())
        return std::nullopt;
    ActiveExecutor& executor = *it->second;
    if (executor.needsFence) {
        // The new token is higher than all earlier ones of this term, because the executor may have
        // been removed and listed again.
        executor.token = ++m_lastToken;
        executor.needsFence = false;
    }
    ReportRequest request { executor.token, executor.endsRecorded, std::nullopt, 0 };
    // The lease may expire if the executor does not respond, and if nothing should run there.
    bool isLeaseNeeded = !executor.runs.empty() || executor.endsAcknowledged != executor.endsApplied;
    if (executor.hasClock && !executor.failedCalls && isLeaseNeeded)
        request.deadlineMs = extendLease(executor, now);
    if (executor.isConfirmed() && request.deadlineMs && !executor.runs.empty())
        request.waitMs = reportWait(executor).count();
    return request;
}

void JobScheduler::reported(std::string_view id, const ReportRequest& request, const ExecutorReport& report, TimePoint sentAt, TimePoint now)
{
    auto it = m_executors.find(std::string(id));
    if (it == m_executors.end())
        return;
    ActiveExecutor& executor = *it->second;
    if (report.startedUnixMs && report.startedUnixMs < executor.entry.startedUnixMs)
        return;
    if (report.startedUnixMs > executor.entry.startedUnixMs)
        handleRestart(executor, report.startedUnixMs, now);
    if (executor.failedCalls || !executor.hasClock)
        m_needsPlacement = true;
    executor.failedCalls = 0;
    executor.hasClock = true;
    executor.clockMs = report.clockMs;
    executor.clockReadAt = now;
    executor.confirmedToken = std::max(executor.confirmedToken, request.token);
    executor.endsAcknowledged = std::max(executor.endsAcknowledged, request.ackCursor);
    ++executor.reports;
    for (const ReportedEnd& end : report.ended) {
        if (end.number > executor.endsApplied)
            applyEnd(executor, end, now);
    }
    for (const ReportedRun& reportedRun : report.running)
        applyReportedRun(executor, reportedRun, sentAt, now);
    std::erase_if(executor.strayRuns, [&](const ActiveExecutor::StrayRun& stray) { return stray.listedIn != executor.reports; });
    resolveMissingRuns(executor, request, report, sentAt, now);
    sendPaces(executor, now);
}

void JobScheduler::reportFailed(std::string_view id, const ReportRequest& request, CommandResult outcome, TimePoint now)
{
    auto it = m_executors.find(std::string(id));
    if (it == m_executors.end())
        return;
    ActiveExecutor& executor = *it->second;
    if (outcome == CommandResult::OtherIncarnation) {
        handleReplacement(executor, now);
        return;
    }
    // The request was overtaken by a call with a newer token of our own.
    if (outcome == CommandResult::Fenced && request.token < executor.token)
        return;
    if (!executor.failedCalls)
        executor.failingSince = now;
    ++executor.failedCalls;
}

void JobScheduler::handleRestart(ActiveExecutor& executor, std::int64_t startedUnixMs, TimePoint now)
{
    loseRuns(executor, "the executor restarted", now);
    executor.entry.startedUnixMs = startedUnixMs;
    executor.hasClock = false;
    executor.needsFence = true;
    executor.confirmedToken = 0;
    executor.endsApplied = 0;
    executor.endsRecorded = 0;
    executor.endsAcknowledged = 0;
    executor.strayRuns.clear();
    executor.failureScore = 0;
    executor.leaseExpiresAt = now;
    ++m_executorsVersion;
}

void JobScheduler::handleReplacement(ActiveExecutor& executor, TimePoint now)
{
    loseRuns(executor, "another executor responds at its address", now);
    executor.isListed = false;
    executor.uncertainUntil = now;
    // Marks the executor as unresponsive with an expired lease, so that expireLeases() removes it.
    executor.leaseExpiresAt = now;
    ++executor.failedCalls;
    wakeAt(now);
}

void JobScheduler::loseRuns(ActiveExecutor& executor, std::string_view reason, TimePoint now)
{
    std::vector<ActiveRun*> runs = executor.runs;
    for (ActiveRun* run : runs) {
        ActiveTask& task = *run->task;
        m_events.note(EventId::RunLost, { { "task", task.name().text() }, { "run", run->number }, { "executor", executor.entry.id }, { "reason", reason } });
        ++m_counters.lostRuns;
        endRun(task, now);
    }
}

void JobScheduler::expireLeases(TimePoint now)
{
    for (std::size_t i = 0; i < m_executorList.size();) {
        ActiveExecutor& executor = *m_executorList[i];
        bool isUnresponsive = executor.failedCalls > 0 || !executor.hasClock;
        if (isUnresponsive && now < executor.leaseExpiresAt)
            wakeAt(executor.leaseExpiresAt);
        if (isUnresponsive && now >= executor.leaseExpiresAt) {
            // A run may have completed before its lease expired, without our knowing.
            if (!executor.runs.empty())
                executor.uncertainUntil = now + s_uncertainTime;
            loseRuns(executor, "its lease expired", now);
            if (!executor.isListed && now < executor.uncertainUntil) {
                wakeAt(executor.uncertainUntil);
            } else if (!executor.isListed) {
                std::erase_if(m_commands, [&](const ExecutorCommand& it) { return it.executor == executor.entry.id; });
                forgetNominations(executor);
                m_executorList.erase(m_executorList.begin() + static_cast<std::ptrdiff_t>(i));
                m_executors.erase(std::string(executor.entry.id));
                ++m_executorsVersion;
                continue;
            }
        }
        ++i;
    }
}

void JobScheduler::forgetNominations(const ActiveExecutor& executor)
{
    for (ActiveStep* step : m_ready) {
        for (ActiveTask& task : step->tasks) {
            if (task.nominated == &executor)
                task.nominated = nullptr;
        }
    }
}

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
    task.isDone = true;
    ++task.step->doneTasks;
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
        for (ActiveOccurrence& occurrence : job.occurrences)
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
    if (end.kind == EndKind::Done && !isLongRunning)
        learnDuration(task, executor, now);
    if (end.kind == EndKind::Done && !isLongRunning) {
        for (ActiveTask& it : step.tasks) {
            // The completion of one member completes the whole gang.
            if (&it != &task && !step.spec->isGang)
                continue;
            step.doneTasks += !it.isDone;
            it.isDone = true;
        }
    }
    if (end.kind == EndKind::Done || wasStopWanted)
        executor.failureScore *= s_failureDecay;
    else if (end.kind == EndKind::Failed)
        recordFailure(executor, now);
    if (end.kind == EndKind::Failed && !isLongRunning && !wasStopWanted)
        task.avoided = &executor;
    if (end.kind == EndKind::Failed && !isLongRunning) {
        ActiveTask& counted = step.spec->isGang ? step.tasks.front() : task;
        ++counted.failures;
    }
    endRun(task, now);
    if (isFinal(job.state))
        return;
    bool isSpent = !isLongRunning && (task.failures >= job.queue.maxAttempts || (step.spec->isGang && step.tasks.front().failures >= job.queue.maxAttempts));
    if (isSpent && !task.isDone) {
        m_events.note(EventId::JobEnded, { { "job", job.id }, { "state", "failed" }, { "task", end.task.text() }, { "failures", task.failures } });
        finish(job, JobState::Failed, now);
        return;
    }
    if (step.isDone()) {
        if (step.longestRun.count())
            m_prioritizer.learn(job.queue.name, step.spec->estimateMs, step.longestRun);
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
    auto took = std::chrono::duration_cast<Milliseconds>(now - run.assignedAt);
    task.step->longestRun = std::max(task.step->longestRun, took);
    auto expected = m_prioritizer.expected(task.step->job().queue.name, task.step->spec->estimateMs);
    double ratio = static_cast<double>(took.count()) / static_cast<double>(std::max<std::int64_t>(1, expected.count()));
    executor.slowness += s_slownessSmoothing * (std::log(std::max(ratio, s_minRatio)) - executor.slowness);
}

void JobScheduler::recordFailure(ActiveExecutor& executor, TimePoint now)
{
    executor.failureScore = executor.failureScore * s_failureDecay + 1;
    if (executor.failureScore < s_failureLimit)
        return;
    executor.avoidedUntil = now + s_failureAvoidance;
    wakeAt(executor.avoidedUntil);
    m_events.note(EventId::ExecutorAvoided, { { "executor", executor.entry.id }, { "reason", "too many failed runs" }, { "score", executor.failureScore } });
    executor.failureScore = s_failureLimit / 2;
}

void JobScheduler::applyReportedRun(ActiveExecutor& executor, const ReportedRun& reportedRun, TimePoint sentAt, TimePoint now)
{
    auto it = m_jobs.find(reportedRun.task.job);
    ActiveTask* task = it == m_jobs.end() ? nullptr : it->second->find(reportedRun.task);
    if (!task || !task->run || task->run->executor != &executor || task->run->number != reportedRun.run) {
        stopStrayRun(executor, reportedRun, now);
        return;
    }
    ActiveRun& run = *task->run;
    run.listedIn = executor.reports;
    if (run.phase == RunPhase::Starting || run.phase == RunPhase::Unconfirmed) {
        run.phase = RunPhase::Running;
        run.confirmedAt = sentAt;
        markStarted(task->step->job());
        if (run.isStopRequested)
            run.isStopSent = false;
    }
    if (run.percent != reportedRun.percent || run.checkpoint != reportedRun.checkpoint)
        run.progressedAt = now;
    run.percent = reportedRun.percent;
    run.measurement = reportedRun.measurement;
    if (!reportedRun.checkpoint.empty())
        run.checkpoint = reportedRun.checkpoint;
}

void JobScheduler::stopStrayRun(ActiveExecutor& executor, const ReportedRun& reportedRun, TimePoint now)
{
    auto isSame = [&](const ActiveExecutor::StrayRun& it) { return it.task == reportedRun.task && it.number == reportedRun.run; };
    auto found = std::find_if(executor.strayRuns.begin(), executor.strayRuns.end(), isSame);
    if (found == executor.strayRuns.end())
        found = executor.strayRuns.insert(found, { reportedRun.task, reportedRun.run, TimePoint {}, 0 });
    found->listedIn = executor.reports;
    if (now < found->stopSentAt + m_limits.stopRepeat)
        return;
    found->stopSentAt = now;
    m_commands.push_back({ CommandKind::Stop, executor.entry.id, reportedRun.task, reportedRun.run, nullptr, {}, {}, 0 });
}

void JobScheduler::resolveMissingRuns(ActiveExecutor& executor, const ReportRequest& request, const ExecutorReport& report, TimePoint sentAt, TimePoint now)
{
    if (report.isTruncated)
        return;
    std::vector<ActiveRun*> runs = executor.runs;
    for (ActiveRun* run : runs) {
        if (run->listedIn == executor.reports)
            continue;
        bool isFencedOff = run->phase == RunPhase::Unconfirmed && request.token > run->token;
        bool isMissing = run->phase == RunPhase::Running && sentAt >= run->confirmedAt;
        if (!isFencedOff && !isMissing)
            continue;
        ActiveTask& task = *run->task;
        m_events.note(EventId::RunLost, { { "task", task.name().text() }, { "run", run->number }, { "executor", executor.entry.id }, { "reason", isFencedOff ? "never started" : "not in the report" } });
        ++m_counters.lostRuns;
        endRun(task, now);
    }
}

void JobScheduler::fence(ActiveExecutor& executor)
{
    if (executor.needsFence)
        return;
    executor.needsFence = true;
    m_commands.push_back({ CommandKind::Fence, executor.entry.id, {}, 0, nullptr, {}, {}, 0 });
}

std::optional<JobScheduler::SendParameters> JobScheduler::prepareSend(const ExecutorCommand& command, TimePoint now)
{
    auto found = m_executors.find(command.executor);
    if (found == m_executors.end())
        return std::nullopt;
    ActiveExecutor& executor = *found->second;
    if (command.kind != CommandKind::Start)
        return SendParameters { executor.token, 0 };
    auto it = m_jobs.find(command.task.job);
    ActiveTask* task = it == m_jobs.end() ? nullptr : it->second->find(command.task);
    if (!task || !task->run || task->run->number != command.run || task->run->executor != &executor)
        return std::nullopt;
    if (task->run->phase != RunPhase::Starting)
        return std::nullopt;
    if (task->run->isStopRequested || !executor.isListed || executor.entry.isDraining || !executor.hasClock) {
        endRun(*task, now);
        return std::nullopt;
    }
    task->run->token = executor.token;
    return SendParameters { executor.token, extendLease(executor, now) };
}

void JobScheduler::commandFinished(const ExecutorCommand& command, CommandResult outcome, TimePoint sentAt, TimePoint now)
{
    auto found = m_executors.find(command.executor);
    if (found == m_executors.end())
        return;
    ActiveExecutor& executor = *found->second;
    if (outcome == CommandResult::OtherIncarnation) {
        handleReplacement(executor, now);
        return;
    }
    if (outcome == CommandResult::Fenced)
        fence(executor);
    auto it = m_jobs.find(command.task.job);
    ActiveTask* task = it == m_jobs.end() ? nullptr : it->second->find(command.task);
    if (!task || !task->run || task->run->number != command.run || task->run->executor != &executor)
        return;
    ActiveRun& run = *task->run;
    if (command.kind == CommandKind::Pace) {
        if (outcome != CommandResult::Accepted)
            run.sentPace = ActiveRun::s_unknownPace;
        return;
    }
    if (command.kind != CommandKind::Start || run.phase != RunPhase::Starting)
        return;
    if (outcome == CommandResult::Accepted) {
        run.phase = RunPhase::Running;
        run.confirmedAt = now;
        markStarted(task->step->job());
        run.progressedAt = now;
        return;
    }
    m_events.note(EventId::StartNotAccepted, { { "task", command.task.text() }, { "run", command.run }, { "executor", command.executor }, { "outcome", nameOf(outcome) }, { "ms", std::chrono::duration_cast<Milliseconds>(now - sentAt).count() } });
    if (outcome == CommandResult::Unknown || outcome == CommandResult::Fenced || outcome == CommandResult::Superseded) {
        ++m_counters.unknownStarts;
        run.phase = RunPhase::Unconfirmed;
        fence(executor);
        return;
    }
    ++m_counters.rejectedStarts;
    Milliseconds delay = m_limits.retryDelay;
    if (outcome == CommandResult::InsufficientCapacity)
        executor.avoidedUntil = std::max(executor.avoidedUntil, now + s_insufficientCapacityDelay);
    if (outcome == CommandResult::Unavailable)
        executor.avoidedUntil = std::max(executor.avoidedUntil, now + s_unavailableDelay);
    // The ticket had expired or was issued for another incarnation of the executor.
    if (outcome == CommandResult::NoTicket)
        task->step->ticketsUntil = now;
    if (outcome == CommandResult::Invalid)
        delay = s_invalidDelay;
    task->avoided = &executor;
    task->notBefore = now + delay;
    wakeAt(task->notBefore);
    endRun(*task, now);
}

} // namespace plantainhold
