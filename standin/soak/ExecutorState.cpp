#include "standin/soak/ExecutorState.h"

#include "standin/soak/SoakOptions.h"
#include "standin/soak/SoakRandom.h"

#include <algorithm>
#include <cstdlib>

namespace plantainhold::soak {

namespace {

    constexpr Milliseconds s_crashDelay { 10 };

    bool isDeadly(const StartOrder& order)
    {
        std::size_t mark = order.payload.find(s_deadlyMark);
        return mark != std::string::npos && order.task.ends_with("." + order.payload.substr(mark + s_deadlyMark.size()));
    }

} // namespace

ExecutorState::ExecutorState(ExecutorTraits traits, RunLedger& ledger, SoakRandom& random, TimePoint now)
    : m_traits(std::move(traits))
    , m_ledger(ledger)
    , m_random(random)
    , m_bootedAt(now)
{
}

std::int64_t ExecutorState::clockMs(TimePoint now) const
{
    return static_cast<std::int64_t>(std::chrono::duration<double, std::milli>(now - m_bootedAt).count() * m_traits.clockRate);
}

OrderResult ExecutorState::checkToken(std::uint64_t token)
{
    if (m_traits.ignoresTokens)
        return OrderResult::Accepted;
    if (token < m_token)
        return OrderResult::Fenced;
    m_token = token;
    return OrderResult::Accepted;
}

void ExecutorState::extendLease(std::int64_t deadlineMs, TimePoint now)
{
    m_leaseDeadlineMs = std::max(m_leaseDeadlineMs, std::min(deadlineMs, clockMs(now) + s_maxLease.count()));
}

OrderResult ExecutorState::start(const StartOrder& order, TimePoint now)
{
    advance(now);
    if (checkToken(order.token) == OrderResult::Fenced)
        return OrderResult::Fenced;
    auto present = m_running.find(order.task);
    if (present != m_running.end() && present->second.number == order.number)
        return OrderResult::Accepted;
    if (order.deadlineMs <= clockMs(now))
        return OrderResult::TooLate;
    extendLease(order.deadlineMs, now);
    auto tombstone = m_tombstones.find(order.task);
    if (tombstone != m_tombstones.end() && order.number <= tombstone->second)
        return OrderResult::Superseded;
    if (m_running.size() >= m_traits.maxRuns && m_traits.enforcesCapacity)
        return OrderResult::NoRoom;
    RunLedger::RunId id = m_ledger.runStarted({ order.task, order.number, order.payload, m_traits.id, m_traits.bornUnixMs, order.token }, now);
    // Beside another run of the same task the ledger has reported a violation already.
    if (present != m_running.end())
        end(present, RunEnd::Stopped);
    if (isDeadly(order) && !m_crashAt)
        m_crashAt = now + s_crashDelay;
    Milliseconds work(std::strtoll(order.payload.c_str(), nullptr, 10));
    bool isLongRunning = order.payload.ends_with(s_longRunningMark);
    m_running[order.task] = { id, order.number, now, work, isLongRunning ? TimePoint::max() : now + work };
    if (m_running.size() > knownRoom(now))
        m_ledger.startedOverCapacity(id, m_running.size(), knownRoom(now));
    return OrderResult::Accepted;
}

OrderResult ExecutorState::stop(const StopOrder& order, TimePoint now)
{
    advance(now);
    if (checkToken(order.token) == OrderResult::Fenced)
        return OrderResult::Fenced;
    std::uint32_t& tombstone = m_tombstones[order.task];
    tombstone = std::max(tombstone, order.number);
    auto it = m_running.find(order.task);
    if (it == m_running.end() || it->second.number != order.number || it->second.isStopping)
        return OrderResult::Accepted;
    m_ledger.stopOrdered(it->second.id);
    it->second.isStopping = true;
    it->second.endsAt = now + m_random.between(Milliseconds(0), s_stopTimeout);
    return OrderResult::Accepted;
}

OrderResult ExecutorState::report(const ReportOrder& order, TimePoint now)
{
    advance(now);
    if (checkToken(order.token) == OrderResult::Fenced)
        return OrderResult::Fenced;
    if (order.deadlineMs)
        extendLease(*order.deadlineMs, now);
    for (const EndedRun& it : m_ended) {
        if (it.position <= order.ackCursor)
            m_ledger.endAcknowledged(it.id);
    }
    std::erase_if(m_ended, [&](const EndedRun& it) { return it.position <= order.ackCursor; });
    return OrderResult::Accepted;
}

void ExecutorState::advance(TimePoint now)
{
    bool isLapsed = clockMs(now) >= m_leaseDeadlineMs;
    if (isLapsed) {
        for (const EndedRun& it : m_ended)
            m_ledger.endExcused(it.id);
    }
    for (auto it = m_running.begin(); it != m_running.end();) {
        auto run = it++;
        if (isLapsed)
            end(run, RunEnd::LeaseLapsed);
        else if (run->second.endsAt <= now)
            end(run, run->second.isStopping ? RunEnd::Stopped : RunEnd::Done);
    }
}

void ExecutorState::resize(std::uint32_t maxRuns, TimePoint now)
{
    if (maxRuns < m_traits.maxRuns)
        m_formerRooms.push_back({ now, m_traits.maxRuns });
    m_traits.maxRuns = maxRuns;
}

std::uint32_t ExecutorState::knownRoom(TimePoint now) const
{
    std::uint32_t room = m_traits.maxRuns;
    for (const FormerRoom& it : m_formerRooms) {
        if (now <= it.until + s_shrinkNotice)
            room = std::max(room, it.maxRuns);
    }
    return room;
}

void ExecutorState::crash()
{
    for (auto& [task, run] : m_running)
        m_ledger.runEnded(run.id, RunEnd::ExecutorGone);
    m_running.clear();
    m_ended.clear();
}

void ExecutorState::end(std::map<std::string, ActiveRun>::iterator run, RunEnd how)
{
    m_ledger.runEnded(run->second.id, how);
    std::uint32_t& tombstone = m_tombstones[run->first];
    tombstone = std::max(tombstone, run->second.number);
    m_ended.push_back({ ++m_endCount, run->second.id, run->first, run->second.number, how });
    m_running.erase(run);
}

} // namespace plantainhold::soak
