// The part of JobScheduler that tells the next owner how long leases may last, and reads what the former owner told.
// A record of the term is written before anything is started that rests on it, so that also the successor of an
// owner that was killed knows of the leases that last longer than usual.

#include "plantainhold/jobs/ExecutorPort.h"
#include "plantainhold/jobs/JobScheduler.h"

#include <algorithm>
#include <chrono>

namespace plantainhold {

namespace {

    // By how much a lease that was extended just now may exceed the usual one, since the clock was read before.
    constexpr Milliseconds s_usualLeaseSlack { 250 };
    // How old the record of the term may be as long as it names executors: what it says of them is counted from a
    // later time than it was written.
    constexpr Milliseconds s_termRecordInterval { 2'000 };

} // namespace

bool JobScheduler::isLeaseLong(TimePoint expiresAt, TimePoint now) const
{
    return expiresAt > now + longestOnOurClock(m_limits.lease) + s_usualLeaseSlack;
}

void JobScheduler::addLongLease(OwnerTerm& term, const std::string& executor, std::int64_t startedUnixMs, TimePoint expiresAt, TimePoint now) const
{
    std::int64_t left = std::chrono::ceil<Milliseconds>(expiresAt - now).count();
    if (isLeaseLong(expiresAt, now))
        term.unresponsive.push_back({ executor, startedUnixMs, left, left });
}

void JobScheduler::handOnFormerLeases(OwnerTerm& term, TimePoint now) const
{
    for (const UnresponsiveExecutor& it : m_former.unresponsive) {
        if (!m_executors.contains(it.id))
            addLongLease(term, it.id, it.startedUnixMs, m_claimedAt + Milliseconds(it.leaseRemainingMs), now);
    }
    TimePoint others = m_claimedAt + Milliseconds(m_former.othersRemainingMs);
    if (m_former.othersRemainingMs && isLeaseLong(others, now))
        term.othersRemainingMs = std::chrono::ceil<Milliseconds>(others - now).count();
}

bool JobScheduler::isTermRecordDue(TimePoint now) const
{
    if (!m_recordedLeases.empty() && now >= m_termRecordedAt + s_termRecordInterval)
        return true;
    return std::any_of(m_executorList.begin(), m_executorList.end(), [&](const ActiveExecutor* it) {
        if (!isLeaseLong(it->leaseExpiresAt, now))
            return false;
        auto recorded = m_recordedLeases.find(it->entry.id);
        return recorded == m_recordedLeases.end() || recorded->second < it->leaseExpiresAt;
    });
}

OwnerTerm JobScheduler::recordTerm(TimePoint now)
{
    OwnerTerm term { m_generation >> s_tokenBits, false, {}, {}, 0 };
    for (const ActiveExecutor* it : m_executorList)
        addLongLease(term, it->entry.id, it->entry.startedUnixMs, it->leaseExpiresAt, now);
    handOnFormerLeases(term, now);
    m_termRecordedAt = now;
    m_recordedLeases.clear();
    for (const UnresponsiveExecutor& it : term.unresponsive)
        m_recordedLeases.emplace(it.id, now + Milliseconds(it.leaseRemainingMs));
    return term;
}

OwnerTerm JobScheduler::release(TimePoint now)
{
    m_runEvents.flush();
    OwnerTerm term { m_generation >> s_tokenBits, true, {}, {}, 0 };
    auto left = [now](TimePoint when) { return std::max<std::int64_t>(0, std::chrono::ceil<Milliseconds>(when - now).count()); };
    for (const ActiveExecutor* it : m_executorList) {
        bool isUnresponsive = it->failedCalls > 0 || !it->hasClock;
        TimePoint longest = it->leaseExpiresAt;
        for (const ActiveRun* run : it->runs) {
            if (now >= run->unseenLeaseExpiresAt)
                continue;
            term.unseenRuns.push_back({ run->task->name().text(), run->number, run->sentTo, left(run->unseenLeaseExpiresAt) });
            longest = std::max(longest, run->unseenLeaseExpiresAt);
        }
        bool isListed = (isUnresponsive || longest > now + longestOnOurClock(m_limits.lease)) && !it->runs.empty();
        // What the next owner starts there has the executor's lease, also if nothing runs there now.
        if (isListed || isLeaseLong(it->leaseExpiresAt, now))
            term.unresponsive.push_back({ it->entry.id, it->entry.startedUnixMs, left(it->leaseExpiresAt), left(longest) });
    }
    handOnFormerLeases(term, now);
    return term;
}

void JobScheduler::restoreUnseenLease(ActiveRun& run)
{
    if (!m_former.isReleased && !run.isSeen)
        run.unseenLeaseExpiresAt = longestLeaseFrom(m_claimedAt + m_limits.formerOwnerGrace + ExecutorPort::s_callTimeout);
    if (!m_former.isReleased)
        return;
    if (m_former.othersRemainingMs)
        run.unseenLeaseExpiresAt = m_claimedAt + Milliseconds(m_former.othersRemainingMs);
    const std::string task = run.task->name().text();
    auto isSame = [&](const UnseenRun& it) { return it.task == task && it.run == run.number; };
    auto found = std::find_if(m_former.unseenRuns.begin(), m_former.unseenRuns.end(), isSame);
    if (found == m_former.unseenRuns.end())
        return;
    run.unseenLeaseExpiresAt = m_claimedAt + Milliseconds(found->leaseRemainingMs);
    run.sentTo = found->address;
}

TimePoint JobScheduler::formerLeaseExpiry(std::string_view id) const
{
    // An owner that did not release may have extended leases for a while after this term began.
    Milliseconds extension = m_former.isReleased ? Milliseconds(0) : m_limits.formerOwnerGrace;
    TimePoint usual = m_claimedAt + extension + longestOnOurClock(m_limits.lease);
    for (const UnresponsiveExecutor& it : m_former.unresponsive) {
        if (it.id != id)
            continue;
        TimePoint recorded = m_claimedAt + Milliseconds(it.leaseRemainingMs);
        return m_former.isReleased ? recorded : std::max(usual, recorded);
    }
    return std::max(usual, m_claimedAt + Milliseconds(m_former.othersRemainingMs));
}

void JobScheduler::noteAwaitedLease(const ActiveExecutor& executor, TimePoint now)
{
    TimePoint longest = executor.leaseExpiresAt;
    for (const ActiveRun* it : executor.runs)
        longest = std::max(longest, it->unseenLeaseExpiresAt);
    auto left = [now](TimePoint when) { return std::chrono::duration_cast<Milliseconds>(when - now).count(); };
    m_events.note(EventId::LeaseAwaited, { { "executor", executor.entry.id }, { "runs", executor.runs.size() }, { "lease_left_ms", left(executor.leaseExpiresAt) }, { "longest_left_ms", left(longest) }, { "claimed_ms_ago", -left(m_claimedAt) }, { "former_generation", m_former.generation }, { "former_released", m_former.isReleased }, { "listed", executor.isListed } });
}

} // namespace plantainhold
