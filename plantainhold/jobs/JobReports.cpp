// The part of JobScheduler that processes what executors say of themselves: their entries in the
// list, and their reports.

#include "plantainhold/jobs/JobScheduler.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace plantainhold {

namespace {

    std::string rackOf(const ExecutorEntry& entry)
    {
        // The labels are the kind and the rack, in this order; names of racks begin with "r".
        return entry.labels.empty() ? std::string() : entry.labels.back();
    }

} // namespace

void JobScheduler::executorListed(const ExecutorEntry& entry, TimePoint now)
{
    ActiveExecutor& executor = executorFor(entry.id, entry.startedUnixMs);
    // A delayed write may put such an entry back.
    if (executor.isFormer(entry.startedUnixMs)) {
        noteIgnored(executor, entry.startedUnixMs, "list");
        return;
    }
    if (entry.startedUnixMs != executor.entry.startedUnixMs)
        handleRestart(executor, entry.startedUnixMs, RestartSource::List, now);
    bool hasChanged = !executor.isListed || executor.entry.isDraining != entry.isDraining || executor.entry.capacity != entry.capacity || executor.entry.address != entry.address || executor.entry.dataCentre != entry.dataCentre || executor.entry.labels != entry.labels;
    if (entry.isDraining && (!executor.entry.isDraining || !executor.isListed))
        executor.drainsUntil = now + Milliseconds(entry.remainingMs);
    if (hasChanged)
        m_events.note(EventId::ExecutorChanged, { { "executor", entry.id }, { "address", entry.address }, { "draining", entry.isDraining }, { "millicores", entry.capacity.millicores } });
    executor.entry = entry;
    executor.listedUnixMs = entry.startedUnixMs;
    executor.rack = rackOf(entry);
    executor.isListed = true;
    executor.isEvacuated = m_evacuations.isEvacuated(entry.dataCentre);
    noteChange(executor);
    m_executorsVersion += hasChanged;
    m_needsPlacement = m_needsPlacement || hasChanged;
}

void JobScheduler::noteIgnored(const ActiveExecutor& executor, std::int64_t startedUnixMs, std::string_view source)
{
    m_events.note(EventId::ReportIgnored, { { "executor", executor.entry.id }, { "incarnation", startedUnixMs }, { "known", executor.entry.startedUnixMs }, { "listed", executor.listedUnixMs }, { "source", source }, { "runs", executor.runs.size() } });
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

bool JobScheduler::isIdle(std::string_view id) const
{
    const ActiveExecutor* executor = this->executor(id);
    return executor && executor->runs.empty() && executor->strayRuns.empty() && executor->isConfirmed() && !executor->failedCalls && executor->endsAcknowledged == executor->endsApplied;
}

Milliseconds JobScheduler::reportWait(const ActiveExecutor& executor) const
{
    // The next report may let others in.
    if (executor.secludedRuns)
        return m_limits.sharedReportWait;
    if (!executor.isShared())
        return m_limits.reportWait;
    Milliseconds fairShare { 1'000 * m_sharedExecutors / m_limits.maxSharedReportsPerSecond };
    return std::clamp(fairShare, m_limits.sharedReportWait, m_limits.reportWait);
}

void JobScheduler::noteReporting(ActiveExecutor& executor, std::int64_t startedUnixMs, TimePoint now)
{
    executor.incarnationSeenAt = now;
    bool hasSuspect = hasTaskWithOwnCrash(executor.expiredRuns);
    bool hadExpiredRuns = std::any_of(executor.expiredRuns.begin(), executor.expiredRuns.end(), [&](const ExpiredRun& it) { return it.incarnation != startedUnixMs; });
    countExpired(executor, startedUnixMs, now);
    if (!startedUnixMs || executor.reportedUnixMs == startedUnixMs)
        return;
    markCrash(executor, startedUnixMs, hasSuspect, hadExpiredRuns, now);
    std::erase(executor.formerIncarnations, startedUnixMs);
    addFormer(executor, executor.reportedUnixMs);
    executor.reportedUnixMs = startedUnixMs;
    executor.reportedAddress.clear();
}

void JobScheduler::addFormer(ActiveExecutor& executor, std::int64_t startedUnixMs)
{
    if (!startedUnixMs || executor.isFormer(startedUnixMs))
        return;
    if (executor.formerIncarnations.size() == ActiveExecutor::s_maxFormerIncarnations)
        executor.formerIncarnations.erase(executor.formerIncarnations.begin());
    executor.formerIncarnations.push_back(startedUnixMs);
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
    // A new incarnation, which numbers its ends anew, would discard ends that were never reported.
    bool isWanted = executor.endsRecorded > executor.endsAcknowledged && executor.areStartsSettled() && !executor.failedCalls;
    std::uint64_t ackCursor = isWanted ? executor.endsRecorded : 0;
    ReportRequest request { executor.token, ackCursor, std::nullopt, 0 };
    // The lease may expire if the executor does not respond, and if nothing should run there.
    bool isLeaseNeeded = !executor.runs.empty() || executor.endsAcknowledged != executor.endsApplied;
    if (m_isTermRecorded && executor.hasClock && !executor.failedCalls && isLeaseNeeded)
        request.deadlineMs = extendLease(executor, now);
    if (executor.isConfirmed() && request.deadlineMs && !executor.runs.empty())
        request.waitMs = reportWait(executor).count();
    if (request.deadlineMs)
        extendUnseenLeases(executor, now);
    return request;
}

void JobScheduler::reported(std::string_view id, const ReportRequest& request, const ExecutorReport& report, const CallResult& result, TimePoint now)
{
    TimePoint sentAt = result.sentAt;
    auto it = m_executors.find(std::string(id));
    if (it == m_executors.end())
        return;
    ActiveExecutor& executor = *it->second;
    bool isNewIncarnation = report.startedUnixMs && report.startedUnixMs != executor.entry.startedUnixMs;
    // Either incarnation may be the newer one; the next report tells.
    if (isNewIncarnation && sentAt < executor.incarnationSeenAt) {
        noteIgnored(executor, report.startedUnixMs, "report");
        return;
    }
    if (isNewIncarnation)
        handleRestart(executor, report.startedUnixMs, RestartSource::Report, now);
    noteReporting(executor, report.startedUnixMs, now);
    executor.heardAt = now;
    noteChange(executor);
    bool acceptedNoWork = executor.failedCalls || !executor.isConfirmed();
    executor.failedCalls = 0;
    executor.hasClock = true;
    executor.clockMs = report.clockMs;
    executor.clockRequestedAt = sentAt;
    executor.clockReadAt = now;
    executor.confirmedToken = std::max(executor.confirmedToken, request.token);
    if (executor.isConfirmed())
        noteFenced(executor, now);
    m_needsPlacement = m_needsPlacement || (acceptedNoWork && executor.isConfirmed());
    // A request that was sent to a former incarnation acknowledged ends of that one.
    if (!isNewIncarnation)
        executor.endsAcknowledged = std::max(executor.endsAcknowledged, request.ackCursor);
    ++executor.reports;
    executor.reportRequestedAt = std::max(executor.reportRequestedAt, sentAt);
    if (executor.reportedAddress != result.address) {
        executor.reportedAddress = result.address;
        executor.reportedSince = now;
    }
    for (const ReportedEnd& end : report.ended) {
        if (end.number > executor.endsApplied)
            applyEnd(executor, end, now);
    }
    for (const ReportedRun& reportedRun : report.running)
        applyReportedRun(executor, reportedRun, now);
    std::erase_if(executor.strayRuns, [&](const ActiveExecutor::StrayRun& stray) { return stray.listedIn != executor.reports; });
    resolveMissingRuns(executor, request, report, sentAt, now);
    sendPaces(executor, now);
}

void JobScheduler::reportFailed(std::string_view id, const ReportRequest& request, const CallResult& result, TimePoint now)
{
    auto it = m_executors.find(std::string(id));
    if (it == m_executors.end())
        return;
    ActiveExecutor& executor = *it->second;
    if (result.outcome == CommandResult::OtherIncarnation) {
        handleReplacement(executor, result, now);
        return;
    }
    // The request was overtaken by a call with a newer token of our own.
    if (result.outcome == CommandResult::Fenced && request.token < executor.token)
        return;
    // A term of the same instance may have used higher tokens of this generation.
    if (result.outcome == CommandResult::Fenced)
        executor.needsFence = true;
    // The executor has moved since the call was sent.
    if (result.address != executor.entry.address)
        return;
    if (!executor.failedCalls++ && !executor.hasClock && !executor.runs.empty())
        noteAwaitedLease(executor, now);
}

void JobScheduler::applyReportedRun(ActiveExecutor& executor, const ReportedRun& reportedRun, TimePoint now)
{
    auto it = m_jobs.find(reportedRun.task.job);
    ActiveTask* task = it == m_jobs.end() ? nullptr : it->second->find(reportedRun.task);
    if (!task || !task->run || task->run->executor != &executor || task->run->number != reportedRun.run) {
        stopStrayRun(executor, reportedRun, now);
        return;
    }
    ActiveRun& run = *task->run;
    run.listedIn = executor.reports;
    // The next owner would take it for a run of the incarnation that the record names.
    if (std::exchange(run.incarnation, executor.entry.startedUnixMs) != executor.entry.startedUnixMs)
        markDirty(task->step->job());
    noteSeen(run, now);
    run.crash = CrashRelation::None;
    if (now >= run.begunAt() + CrashCounts::s_soundAfter)
        proveRun(run, now);
    run.unseenLeaseExpiresAt = {};
    if (run.phase == RunPhase::Starting || run.phase == RunPhase::Unconfirmed) {
        run.phase = RunPhase::Running;
        run.confirmedAt = now;
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

void JobScheduler::noteSeen(ActiveRun& run, TimePoint now)
{
    bool hasOutlastedStart = run.hasOutlastedStart || now >= run.begunAt() + CrashCounts::s_soonLimit;
    bool isNews = !std::exchange(run.isSeen, true);
    isNews = std::exchange(run.hasOutlastedStart, hasOutlastedStart) != hasOutlastedStart || isNews;
    // A task that lasts is hardly ever recorded again, and must not wait for the longest lease if its executor is
    // lost together with its owner.
    if (isNews && run.task->step->spec->isLongRunning)
        markDirty(run.task->step->job());
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
    noteUnexpectedRun(executor, reportedRun);
    m_commands.push_back({ CommandKind::Stop, executor.entry.id, reportedRun.task, reportedRun.run, nullptr, {}, {}, 0 });
}

void JobScheduler::noteUnexpectedRun(const ActiveExecutor& executor, const ReportedRun& reportedRun)
{
    auto it = m_jobs.find(reportedRun.task.job);
    ActiveTask* task = it == m_jobs.end() ? nullptr : it->second->find(reportedRun.task);
    bool hasRun = task && task->run;
    m_events.note(EventId::RunUnexpected, { { "task", reportedRun.task.text() }, { "run", reportedRun.run }, { "executor", executor.entry.id }, { "incarnation", executor.entry.startedUnixMs }, { "percent", reportedRun.percent }, { "job_active", it != m_jobs.end() }, { "known_run", hasRun ? task->run->number : 0 }, { "known_executor", hasRun ? task->run->executor->entry.id : std::string() } });
}

void JobScheduler::resolveMissingRuns(ActiveExecutor& executor, const ReportRequest& request, const ExecutorReport& report, TimePoint sentAt, TimePoint now)
{
    if (report.isTruncated)
        return;
    std::vector<ActiveRun*> runs = executor.runs;
    for (ActiveRun* run : runs) {
        if (run->listedIn == executor.reports)
            continue;
        bool isFencedOff = run->phase == RunPhase::Unconfirmed && request.token > run->token && sentAt >= run->confirmedAt;
        bool isMissing = run->phase == RunPhase::Running && sentAt >= run->confirmedAt;
        if (!isFencedOff && !isMissing)
            continue;
        loseRun(*run, isFencedOff ? "never started" : "not in the report", std::chrono::duration_cast<Milliseconds>(now - sentAt), now);
    }
}

} // namespace plantainhold
