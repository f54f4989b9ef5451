// The part of JobScheduler that grants leases and decides when the runs of an executor that does
// not report are over.

#include "plantainhold/jobs/ExecutorPort.h"
#include "plantainhold/jobs/JobScheduler.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace plantainhold {

namespace {

    // Safety margin added to every computed end of a lease.
    constexpr Milliseconds s_leaseMargin { 50 };
    // Tolerance in comparing two readings of an executor's clock, which are whole milliseconds.
    constexpr Milliseconds s_clockTolerance { 5 };
    // How long an executor is polled for the ends of runs that were given up.
    constexpr Milliseconds s_uncertainTime { 8'000 };
    // No incarnation has this start time.
    constexpr std::int64_t s_noIncarnation = -1;

} // namespace

std::int64_t JobScheduler::extendLease(ActiveExecutor& executor, TimePoint now)
{
    auto elapsed = std::chrono::duration_cast<Milliseconds>(now - executor.clockReadAt);
    Milliseconds lasts = elapsed + m_limits.lease;
    executor.leaseExpiresAt = std::max(executor.leaseExpiresAt, executor.clockReadAt + longestOnOurClock(lasts) + s_leaseMargin);
    return executor.clockMs + lasts.count();
}

void JobScheduler::extendUnseenLeases(ActiveExecutor& executor, TimePoint now)
{
    TimePoint latest = longestLeaseFrom(now + ExecutorPort::s_callTimeout);
    for (ActiveRun* it : executor.runs) {
        if (!it->isIncarnationKnown())
            it->unseenLeaseExpiresAt = std::max(it->unseenLeaseExpiresAt, latest);
    }
}

bool JobScheduler::fitsClock(const ActiveExecutor& executor, std::int64_t clockMs, TimePoint sentAt, TimePoint now) const
{
    if (!executor.hasClock)
        return false;
    // The known clock was read at some time between its report's request and arrival.
    auto least = std::chrono::floor<Milliseconds>(sentAt - executor.clockReadAt);
    auto most = std::chrono::ceil<Milliseconds>(now - executor.clockRequestedAt);
    double slowest = static_cast<double>(least.count()) * (least.count() > 0 ? 1 - m_limits.clockDrift : 1);
    std::int64_t passed = clockMs - executor.clockMs;
    return static_cast<double>(passed) >= slowest - s_clockTolerance.count() && passed <= most.count() + s_clockTolerance.count();
}

TimePoint JobScheduler::longestLeaseFrom(TimePoint when) const
{
    return when + longestOnOurClock(m_limits.maxLease) + s_leaseMargin;
}

Milliseconds JobScheduler::longestOnOurClock(Milliseconds time) const
{
    return Milliseconds(static_cast<std::int64_t>(static_cast<double>(time.count()) / (1 - m_limits.clockDrift)));
}

void JobScheduler::handleRestart(ActiveExecutor& executor, std::int64_t startedUnixMs, RestartSource source, TimePoint now)
{
    m_events.note(EventId::ExecutorRestarted, { { "executor", executor.entry.id }, { "from", executor.entry.startedUnixMs }, { "to", startedUnixMs }, { "source", source == RestartSource::List ? "list" : "report" }, { "runs", executor.runs.size() }, { "failed_calls", executor.failedCalls } });
    if (source == RestartSource::Report)
        addFormer(executor, executor.entry.startedUnixMs);
    executor.entry.startedUnixMs = startedUnixMs;
    executor.incarnationSeenAt = now;
    executor.hasClock = false;
    executor.needsFence = true;
    executor.confirmedToken = 0;
    executor.endsApplied = 0;
    executor.endsRecorded = 0;
    executor.endsAcknowledged = 0;
    executor.strayRuns.clear();
    executor.failureScore = 0;
    // The new incarnation may have accepted starts that were meant for the former one, and granted the
    // longest lease. Which runs it has, only its report tells; and that no more of these calls can follow, only
    // its response to a newer token (see noteFenced()).
    executor.mayTakeFormerCalls = true;
    executor.leaseExpiresAt = std::max(executor.leaseExpiresAt, longestLeaseFrom(now));
    for (ActiveRun* it : executor.runs)
        it->sentPace = ActiveRun::s_unknownPace;
    ++m_executorsVersion;
}

void JobScheduler::noteFenced(ActiveExecutor& executor, TimePoint now)
{
    if (!std::exchange(executor.mayTakeFormerCalls, false))
        return;
    // A call for the former incarnation may have been carried out up to now.
    executor.leaseExpiresAt = std::max(executor.leaseExpiresAt, longestLeaseFrom(now));
}

void JobScheduler::handleReplacement(ActiveExecutor& executor, const CallResult& result, TimePoint now)
{
    if (result.address != executor.entry.address) {
        noteReplacement(executor, result, now);
        return;
    }
    // The executor has reported from there since.
    if (result.address == executor.reportedAddress && result.sentAt < executor.reportRequestedAt)
        return;
    if (executor.isListed)
        noteReplacement(executor, result, now);
    executor.isListed = false;
    ++executor.failedCalls;
    auto isOver = [&](const ActiveRun& run) {
        // Whichever incarnation may have accepted the start did so at the address to which it was sent.
        bool isStartGone = run.sentTo == result.address && result.sentAt >= run.confirmedAt;
        return run.isIncarnationKnown() ? isGoneFrom(run, result) : isStartGone;
    };
    std::vector<ActiveRun*> runs = executor.runs;
    std::erase_if(runs, [&](const ActiveRun* it) { return !isOver(*it); });
    if (!runs.empty())
        markCrash(executor, s_noIncarnation, hasTaskWithOwnCrash(executor.expiredRuns), !executor.expiredRuns.empty(), now);
    if (result.address == executor.reportedAddress && result.sentAt >= executor.reportedSince)
        countExpired(executor, s_noIncarnation, now);
    for (ActiveRun* it : runs)
        loseRun(*it, "another executor responds at its address", Milliseconds(0), now);
}

void JobScheduler::noteReplacement(const ActiveExecutor& executor, const CallResult& result, TimePoint now)
{
    m_events.note(EventId::ExecutorReplaced, { { "executor", executor.entry.id }, { "called", result.address }, { "listed", executor.entry.address }, { "reported", executor.reportedAddress }, { "sent_ms_ago", std::chrono::duration_cast<Milliseconds>(now - result.sentAt).count() }, { "runs", executor.runs.size() } });
}

// An incarnation keeps its address, so it is gone if another executor has it now. Without a report in
// this term the list of executors tells the address of the incarnation that it names.
bool JobScheduler::isGoneFrom(const ActiveRun& run, const CallResult& result) const
{
    const ActiveExecutor& executor = *run.executor;
    if (!executor.reportedAddress.empty())
        return result.address == executor.reportedAddress && result.sentAt >= executor.reportedSince;
    return run.incarnation == executor.listedUnixMs && result.sentAt >= m_claimedAt + ExecutorPort::s_callTimeout;
}

void JobScheduler::loseRun(ActiveRun& run, std::string_view reason, Milliseconds reportAge, TimePoint now)
{
    const ActiveExecutor& executor = *run.executor;
    auto since = [now](TimePoint when) { return when == TimePoint {} ? -1 : std::chrono::duration_cast<Milliseconds>(now - when).count(); };
    m_events.note(EventId::RunLost, { { "task", run.task->name().text() }, { "run", run.number }, { "executor", executor.entry.id }, { "reason", reason }, { "phase", nameOf(run.phase) }, { "incarnation", executor.entry.startedUnixMs }, { "token", run.token }, { "assigned_ms_ago", since(run.assignedAt) }, { "confirmed_ms_ago", since(run.confirmedAt) }, { "report_ms_ago", reportAge.count() }, { "lease_left_ms", -since(executor.leaseExpiresAt) }, { "failed_calls", executor.failedCalls } });
    ++m_counters.lostRuns;
    ActiveTask& task = *run.task;
    ExpiredRun lost { task.name(), run.number, executor.entry.id, run.incarnation, run.crash, now };
    endRun(task, now);
    if (lost.crash != CrashRelation::None && !task.isDone)
        countCrash(task, lost, now);
}

void JobScheduler::expireLeases(TimePoint now)
{
    for (std::size_t i = 0; i < m_executorList.size();) {
        ActiveExecutor& executor = *m_executorList[i];
        bool isUnresponsive = executor.failedCalls > 0 || !executor.hasClock;
        if (isUnresponsive && now < executor.leaseExpiresAt)
            wakeAt(executor.leaseExpiresAt);
        if (isUnresponsive && now >= executor.leaseExpiresAt) {
            loseExpiredRuns(executor, now);
            if (mayForget(executor, now)) {
                forget(i, now);
                continue;
            }
        }
        ++i;
    }
}

void JobScheduler::loseExpiredRuns(ActiveExecutor& executor, TimePoint now)
{
    // A run may have completed before its lease expired, without our knowing.
    if (!executor.runs.empty())
        executor.uncertainUntil = now + s_uncertainTime;
    std::vector<ActiveRun*> runs = executor.runs;
    for (ActiveRun* it : runs) {
        if (now < it->unseenLeaseExpiresAt) {
            wakeAt(it->unseenLeaseExpiresAt);
            continue;
        }
        noteExpired(executor, *it, now);
        loseRun(*it, "its lease expired", Milliseconds(0), now);
    }
}

bool JobScheduler::mayForget(const ActiveExecutor& executor, TimePoint now)
{
    if (executor.isListed || !executor.runs.empty())
        return false;
    if (now < executor.uncertainUntil)
        wakeAt(executor.uncertainUntil);
    return now >= executor.uncertainUntil;
}

void JobScheduler::forget(std::size_t index, TimePoint now)
{
    const ActiveExecutor& executor = *m_executorList[index];
    const std::string id = executor.entry.id;
    std::erase_if(m_commands, [&](const ExecutorCommand& it) { return it.executor == id; });
    forgetNominations(executor);
    if (!executor.expiredRuns.empty() && !hasTaskWithOwnCrash(executor.expiredRuns))
        m_crashSeries.addWithoutSuspect(executor.expiredRuns.front().lostAt);
    countExpired(*m_executorList[index], s_noIncarnation, now);
    m_executorList.erase(m_executorList.begin() + static_cast<std::ptrdiff_t>(index));
    m_executors.erase(id);
    ++m_executorsVersion;
}

void JobScheduler::forgetNominations(const ActiveExecutor& executor)
{
    std::erase_if(m_nominatedTasks, [&](ActiveTask* it) {
        bool isThere = it->nominated == &executor;
        if (isThere)
            it->nominated = nullptr;
        return isThere;
    });
}

} // namespace plantainhold
