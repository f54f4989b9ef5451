// The part of the scheduler that hears from executors: entries, reports, answers
// to orders, and leases that run out.

#include "plantainhold/jobs/JobScheduler.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace plantainhold {

namespace {

    // Added to every computed end of a lease.
    constexpr Milliseconds s_leaseMargin { 50 };
    constexpr Milliseconds s_noRoomPause { 300 };
    constexpr Milliseconds s_unavailablePause { 1'000 };
    // For answers about runs that were given up.
    constexpr Milliseconds s_doubtTime { 8'000 };
    constexpr Milliseconds s_invalidPause { 2'000 };
    // Failures weigh less the more ends follow them.
    constexpr double s_failureDecay = 0.8;
    constexpr double s_failureLimit = 2.5;
    constexpr Milliseconds s_failurePause { 3'000 };
    constexpr double s_pressedRatio = 0.9;
    constexpr double s_slownessSmoothing = 0.3;
    constexpr double s_leastRatio = 0.1;

    std::string rackOf(const ExecutorEntry& entry)
    {
        // Labels are the kind and the rack; a rack's name begins with "r".
        return entry.labels.empty() ? std::string() : entry.labels.back();
    }

    std::string_view nameOf(EndKind kind)
    {
        constexpr std::string_view s_names[] = { "done", "failed", "stopped", "lease_lapsed", "gang_broken", "gang_incomplete" };
        return s_names[static_cast<std::size_t>(kind)];
    }

    // A serving task is near its target or over it, beside tasks that may be the cause.
    bool isPressed(const ActiveExecutor& executor)
    {
        return executor.fillingRuns && executor.worstTailRatio > s_pressedRatio;
    }

} // namespace

void JobScheduler::executorSeen(const ExecutorEntry& entry, TimePoint now)
{
    ActiveExecutor& executor = executorFor(entry.id, entry.bornUnixMs);
    if (entry.bornUnixMs < executor.entry.bornUnixMs)
        return;
    if (entry.bornUnixMs > executor.entry.bornUnixMs)
        reborn(executor, entry.bornUnixMs, now);
    bool isNews = !executor.isListed || executor.entry.isDraining != entry.isDraining || executor.entry.capacity != entry.capacity || executor.entry.address != entry.address;
    if (entry.isDraining && (!executor.entry.isDraining || !executor.isListed))
        executor.drainsUntil = now + Milliseconds(entry.remainingMs);
    if (isNews)
        m_events.note(EventId::ExecutorChanged, { { "executor", entry.id }, { "address", entry.address }, { "draining", entry.isDraining }, { "millicores", entry.capacity.millicores } });
    executor.entry = entry;
    executor.rack = rackOf(entry);
    executor.isListed = true;
    m_executorsVersion += isNews;
    m_needsPlacement = m_needsPlacement || isNews;
}

void JobScheduler::executorGone(std::string_view id, TimePoint now)
{
    auto it = m_executors.find(std::string(id));
    if (it == m_executors.end() || !it->second->isListed)
        return;
    it->second->isListed = false;
    m_events.note(EventId::ExecutorUnlisted, { { "executor", id }, { "runs", it->second->runs.size() } });
    wakeAt(std::max(now, it->second->leaseOver));
}

std::int64_t JobScheduler::extendLease(ActiveExecutor& executor, TimePoint now)
{
    auto elapsed = std::chrono::duration_cast<Milliseconds>(now - executor.clockReadAt);
    std::int64_t deadline = executor.clockMs + (elapsed + m_limits.lease).count();
    // A slow clock reaches the deadline later.
    double longest = static_cast<double>((elapsed + m_limits.lease).count()) / (1 - m_limits.clockDrift);
    executor.leaseOver = std::max(executor.leaseOver, executor.clockReadAt + Milliseconds(static_cast<std::int64_t>(longest)) + s_leaseMargin);
    return deadline;
}

bool JobScheduler::isQuiet(std::string_view id) const
{
    const ActiveExecutor* executor = this->executor(id);
    return executor && executor->runs.empty() && executor->isConfirmed() && !executor->failedCalls && executor->endsAcknowledged == executor->endsApplied;
}

std::optional<ReportOrder> JobScheduler::nextReport(std::string_view id, TimePoint now)
{
    auto it = m_executors.find(std::string(id));
    if (it == m_executors.end())
        return std::nullopt;
    ActiveExecutor& executor = *it->second;
    if (executor.needsFence) {
        // Above all tokens of this term: the executor may have been forgotten and listed again.
        executor.token = ++m_lastToken;
        executor.needsFence = false;
    }
    ReportOrder order { executor.token, executor.endsRecorded, std::nullopt, 0 };
    // An executor that does not answer is asked without a deadline, so that its lease can be waited for.
    if (executor.hasClock && !executor.failedCalls)
        order.deadlineMs = extendLease(executor, now);
    if (executor.isConfirmed() && order.deadlineMs && !executor.runs.empty())
        order.waitMs = (isPressed(executor) ? m_limits.pressedReportWait : m_limits.reportWait).count();
    return order;
}

void JobScheduler::reported(std::string_view id, const ReportOrder& order, const ExecutorReport& report, TimePoint sentAt, TimePoint now)
{
    auto it = m_executors.find(std::string(id));
    if (it == m_executors.end())
        return;
    ActiveExecutor& executor = *it->second;
    if (report.bornUnixMs && report.bornUnixMs < executor.entry.bornUnixMs)
        return;
    if (report.bornUnixMs > executor.entry.bornUnixMs)
        reborn(executor, report.bornUnixMs, now);
    if (executor.failedCalls || !executor.hasClock)
        m_needsPlacement = true;
    executor.failedCalls = 0;
    executor.hasClock = true;
    executor.clockMs = report.clockMs;
    executor.clockReadAt = now;
    executor.confirmedToken = std::max(executor.confirmedToken, order.token);
    executor.endsAcknowledged = std::max(executor.endsAcknowledged, order.ackCursor);
    ++executor.reports;
    for (const EndRow& end : report.ended) {
        if (end.number > executor.endsApplied)
            applyEnd(executor, end, now);
    }
    for (const RunRow& row : report.running)
        applyRow(executor, row, sentAt, now);
    resolveAbsent(executor, order, report, sentAt, now);
    steerPaces(executor, now);
}

void JobScheduler::reportFailed(std::string_view id, const ReportOrder& order, OrderOutcome outcome, TimePoint now)
{
    auto it = m_executors.find(std::string(id));
    if (it == m_executors.end())
        return;
    ActiveExecutor& executor = *it->second;
    if (outcome == OrderOutcome::OtherIncarnation) {
        replaced(executor, now);
        return;
    }
    // Overtaken by a call with a newer token of our own.
    if (outcome == OrderOutcome::Fenced && order.token < executor.token)
        return;
    if (!executor.failedCalls)
        executor.failingSince = now;
    ++executor.failedCalls;
}

void JobScheduler::reborn(ActiveExecutor& executor, std::int64_t born, TimePoint now)
{
    loseRuns(executor, "the executor started again", now);
    executor.entry.bornUnixMs = born;
    executor.hasClock = false;
    executor.needsFence = true;
    executor.confirmedToken = 0;
    executor.endsApplied = 0;
    executor.endsRecorded = 0;
    executor.endsAcknowledged = 0;
    executor.failureScore = 0;
    executor.leaseOver = now;
    ++m_executorsVersion;
}

void JobScheduler::replaced(ActiveExecutor& executor, TimePoint now)
{
    loseRuns(executor, "another executor answers at its address", now);
    executor.isListed = false;
    executor.inDoubtUntil = now;
    // Silent for good, so that it is forgotten.
    executor.leaseOver = now;
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
        bool isSilent = executor.failedCalls > 0 || !executor.hasClock;
        if (isSilent && now < executor.leaseOver)
            wakeAt(executor.leaseOver);
        if (isSilent && now >= executor.leaseOver) {
            // A run without an answer may have ended before its lease did.
            if (!executor.runs.empty())
                executor.inDoubtUntil = now + s_doubtTime;
            loseRuns(executor, "its lease is over", now);
            if (!executor.isListed && now < executor.inDoubtUntil) {
                wakeAt(executor.inDoubtUntil);
            } else if (!executor.isListed) {
                std::erase_if(m_orders, [&](const ExecutorOrder& it) { return it.executor == executor.entry.id; });
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

void JobScheduler::applyEnd(ActiveExecutor& executor, const EndRow& end, TimePoint now)
{
    executor.endsApplied = end.number;
    ++m_counters.ends;
    auto it = m_jobs.find(end.task.job);
    ActiveTask* task = it == m_jobs.end() ? nullptr : it->second->find(end.task);
    if (task && task->run && task->run->executor == &executor && task->run->number == end.run)
        applyTaskEnd(*task, executor, end, now);
    else if (task && end.kind == EndKind::Done)
        applyEarlierDone(*task, executor, end, now);
}

void JobScheduler::applyEarlierDone(ActiveTask& task, const ActiveExecutor& executor, const EndRow& end, TimePoint now)
{
    const StepSpec& spec = *task.step->spec;
    bool isOpen = !task.isDone && !task.wasDoneBefore && !isFinal(task.step->job().state);
    if (!isOpen || spec.lasts || spec.isGang || end.run > task.lastRun)
        return;
    m_runs.ended(end.task, end.run, executor.entry.id, "done_although_given_up");
    task.wasDoneBefore = true;
    markDirty(task.step->job());
    if (!task.run)
        takeEarlierDone(task);
    else if (!task.run->isStopWanted)
        orderStop(*task.run, now);
}

void JobScheduler::takeEarlierDone(ActiveTask& task)
{
    task.isDone = true;
    ++task.step->doneTasks;
    refreshReady(*task.step);
    m_toSettle.push_back(task.step->job().id);
}

// Apart from the event that brought it about: it may end other runs of the job.
void JobScheduler::settleJobs(TimePoint now)
{
    for (const std::string& id : std::exchange(m_toSettle, {})) {
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

void JobScheduler::applyTaskEnd(ActiveTask& task, ActiveExecutor& executor, const EndRow& end, TimePoint now)
{
    ActiveStep& step = *task.step;
    ActiveJob& job = step.job();
    bool lasts = step.spec->lasts;
    m_runs.ended(end.task, end.run, executor.entry.id, nameOf(end.kind));
    markBegun(job);
    if (!end.checkpoint.empty())
        task.run->checkpoint = end.checkpoint;
    bool wasStopWanted = task.run->isStopWanted;
    if (end.kind == EndKind::Done && !lasts)
        learnDuration(task, executor, now);
    if (end.kind == EndKind::Done && !lasts) {
        for (ActiveTask& it : step.tasks) {
            // One member's end stands for its whole gang.
            if (&it != &task && !step.spec->isGang)
                continue;
            step.doneTasks += !it.isDone;
            it.isDone = true;
        }
    }
    if (end.kind == EndKind::Done || wasStopWanted)
        executor.failureScore *= s_failureDecay;
    else if (end.kind == EndKind::Failed)
        noteFailure(executor, now);
    if (end.kind == EndKind::Failed && !lasts && !wasStopWanted)
        task.avoided = &executor;
    if (end.kind == EndKind::Failed && !lasts) {
        ActiveTask& counted = step.spec->isGang ? step.tasks.front() : task;
        ++counted.failures;
    }
    endRun(task, now);
    if (isFinal(job.state))
        return;
    bool isSpent = !lasts && (task.failures >= job.queue.maxAttempts || (step.spec->isGang && step.tasks.front().failures >= job.queue.maxAttempts));
    if (isSpent && !task.isDone) {
        m_events.note(EventId::JobEnded, { { "job", job.id }, { "state", "failed" }, { "task", end.task.text() }, { "failures", task.failures } });
        finish(job, JobState::Failed, now);
        return;
    }
    if (step.isDone()) {
        if (step.longestRun.count())
            m_order.learn(job.queue.name, step.spec->estimateMs, step.longestRun);
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
    // A run that was slowed down or resumed says nothing of its length.
    if (run.wasPaced || !task.checkpoint.empty() || !task.step->spec->estimateMs)
        return;
    auto took = std::chrono::duration_cast<Milliseconds>(now - run.assignedAt);
    task.step->longestRun = std::max(task.step->longestRun, took);
    auto expected = m_order.expected(task.step->job().queue.name, task.step->spec->estimateMs);
    double ratio = static_cast<double>(took.count()) / static_cast<double>(std::max<std::int64_t>(1, expected.count()));
    executor.slowness += s_slownessSmoothing * (std::log(std::max(ratio, s_leastRatio)) - executor.slowness);
}

void JobScheduler::noteFailure(ActiveExecutor& executor, TimePoint now)
{
    executor.failureScore = executor.failureScore * s_failureDecay + 1;
    if (executor.failureScore < s_failureLimit)
        return;
    executor.avoidedUntil = now + s_failurePause;
    wakeAt(executor.avoidedUntil);
    m_events.note(EventId::ExecutorAvoided, { { "executor", executor.entry.id }, { "reason", "fails what it runs" }, { "score", executor.failureScore } });
    executor.failureScore = s_failureLimit / 2;
}

void JobScheduler::applyRow(ActiveExecutor& executor, const RunRow& row, TimePoint sentAt, TimePoint now)
{
    auto it = m_jobs.find(row.task.job);
    ActiveTask* task = it == m_jobs.end() ? nullptr : it->second->find(row.task);
    if (!task || !task->run || task->run->executor != &executor || task->run->number != row.run) {
        // Left by a former owner or by a run that was given up.
        m_orders.push_back({ OrderKind::Stop, executor.entry.id, row.task, row.run, nullptr, {}, {}, 0 });
        return;
    }
    ActiveRun& run = *task->run;
    run.listedIn = executor.reports;
    if (run.phase == RunPhase::Starting || run.phase == RunPhase::Unconfirmed) {
        run.phase = RunPhase::Running;
        run.confirmedAt = sentAt;
        markBegun(task->step->job());
        if (run.isStopWanted)
            run.isStopSent = false;
    }
    if (run.percent != row.percent || run.checkpoint != row.checkpoint)
        run.progressedAt = now;
    run.percent = row.percent;
    run.figure = row.figure;
    if (!row.checkpoint.empty())
        run.checkpoint = row.checkpoint;
}

void JobScheduler::resolveAbsent(ActiveExecutor& executor, const ReportOrder& order, const ExecutorReport& report, TimePoint sentAt, TimePoint now)
{
    if (report.isTruncated)
        return;
    std::vector<ActiveRun*> runs = executor.runs;
    for (ActiveRun* run : runs) {
        if (run->listedIn == executor.reports)
            continue;
        bool isFencedOff = run->phase == RunPhase::Unconfirmed && order.token > run->token;
        bool isMissing = run->phase == RunPhase::Running && sentAt >= run->confirmedAt;
        if (!isFencedOff && !isMissing)
            continue;
        ActiveTask& task = *run->task;
        m_events.note(EventId::RunLost, { { "task", task.name().text() }, { "run", run->number }, { "executor", executor.entry.id }, { "reason", isFencedOff ? "never started" : "not listed" } });
        ++m_counters.lostRuns;
        endRun(task, now);
    }
}

void JobScheduler::fence(ActiveExecutor& executor)
{
    if (executor.needsFence)
        return;
    executor.needsFence = true;
    m_orders.push_back({ OrderKind::Fence, executor.entry.id, {}, 0, nullptr, {}, {}, 0 });
}

std::optional<JobScheduler::Envelope> JobScheduler::seal(const ExecutorOrder& order, TimePoint now)
{
    auto found = m_executors.find(order.executor);
    if (found == m_executors.end())
        return std::nullopt;
    ActiveExecutor& executor = *found->second;
    if (order.kind != OrderKind::Start)
        return Envelope { executor.token, 0 };
    auto it = m_jobs.find(order.task.job);
    ActiveTask* task = it == m_jobs.end() ? nullptr : it->second->find(order.task);
    if (!task || !task->run || task->run->number != order.run || task->run->executor != &executor)
        return std::nullopt;
    if (task->run->phase != RunPhase::Starting)
        return std::nullopt;
    if (task->run->isStopWanted || !executor.isListed || executor.entry.isDraining || !executor.hasClock) {
        endRun(*task, now);
        return std::nullopt;
    }
    task->run->token = executor.token;
    return Envelope { executor.token, extendLease(executor, now) };
}

void JobScheduler::answered(const ExecutorOrder& order, OrderOutcome outcome, TimePoint sentAt, TimePoint now)
{
    auto found = m_executors.find(order.executor);
    if (found == m_executors.end())
        return;
    ActiveExecutor& executor = *found->second;
    if (outcome == OrderOutcome::OtherIncarnation) {
        replaced(executor, now);
        return;
    }
    if (outcome == OrderOutcome::Fenced)
        fence(executor);
    auto it = m_jobs.find(order.task.job);
    ActiveTask* task = it == m_jobs.end() ? nullptr : it->second->find(order.task);
    if (!task || !task->run || task->run->number != order.run || task->run->executor != &executor)
        return;
    ActiveRun& run = *task->run;
    if (order.kind == OrderKind::Pace) {
        if (outcome != OrderOutcome::Accepted)
            run.orderedPace = ActiveRun::s_unknownPace;
        return;
    }
    if (order.kind != OrderKind::Start || run.phase != RunPhase::Starting)
        return;
    if (outcome == OrderOutcome::Accepted) {
        run.phase = RunPhase::Running;
        run.confirmedAt = now;
        markBegun(task->step->job());
        run.progressedAt = now;
        return;
    }
    m_events.note(EventId::StartNotAccepted, { { "task", order.task.text() }, { "run", order.run }, { "executor", order.executor }, { "outcome", nameOf(outcome) }, { "ms", std::chrono::duration_cast<Milliseconds>(now - sentAt).count() } });
    if (outcome == OrderOutcome::Unknown || outcome == OrderOutcome::Fenced || outcome == OrderOutcome::Superseded) {
        ++m_counters.unknownStarts;
        run.phase = RunPhase::Unconfirmed;
        fence(executor);
        return;
    }
    ++m_counters.rejectedStarts;
    Milliseconds pause = m_limits.retryDelay;
    if (outcome == OrderOutcome::NoRoom)
        executor.avoidedUntil = std::max(executor.avoidedUntil, now + s_noRoomPause);
    if (outcome == OrderOutcome::Unavailable)
        executor.avoidedUntil = std::max(executor.avoidedUntil, now + s_unavailablePause);
    // The ticket had lapsed, or was for another life of the executor.
    if (outcome == OrderOutcome::NoTicket)
        task->step->ticketsUntil = now;
    if (outcome == OrderOutcome::Invalid)
        pause = s_invalidPause;
    task->avoided = &executor;
    task->notBefore = now + pause;
    wakeAt(task->notBefore);
    endRun(*task, now);
}

} // namespace plantainhold
