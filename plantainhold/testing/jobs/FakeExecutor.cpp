#include "plantainhold/testing/jobs/FakeExecutor.h"

#include <algorithm>

namespace plantainhold {

FakeExecutor::FakeExecutor(Incarnation first, const Hardware& hardware)
    : m_hardware(hardware)
    , m_incarnation(std::move(first))
{
}

std::int64_t FakeExecutor::clockMs() const
{
    return m_incarnation.clockMs + static_cast<std::int64_t>(static_cast<double>(m_trueMs - m_startedAtMs) * m_hardware.clockRate);
}

void FakeExecutor::extendLease(std::int64_t deadlineMs)
{
    m_deadline = std::max(m_deadline, std::min(deadlineMs, clockMs() + m_hardware.maxLeaseMs));
}

void FakeExecutor::advance(std::int64_t trueMs)
{
    std::int64_t elapsed = trueMs - m_trueMs;
    m_trueMs = trueMs;
    if (!m_isUp)
        return;
    std::vector<std::string> names;
    for (const auto& [name, it] : m_running)
        names.push_back(name);
    bool hasLapsed = clockMs() > m_deadline;
    // By the platform's rules, an acknowledgement after the lease expired does not count for earlier ends.
    if (hasLapsed)
        m_lapsedBefore = m_nextEnd;
    for (const std::string& it : names) {
        Running& running = m_running.at(it);
        running.workLeftMs -= elapsed;
        if (hasLapsed)
            end(it, EndKind::LeaseLapsed);
        else if (!running.isLongRunning && running.workLeftMs <= 0)
            end(it, running.fails ? EndKind::Failed : EndKind::Done);
    }
}

void FakeExecutor::crash()
{
    m_isUp = false;
    m_running.clear();
    m_ended.clear();
    m_spent.clear();
    m_token = 0;
    m_deadline = 0;
    m_nextEnd = 1;
    m_lapsedBefore = 0;
}

void FakeExecutor::restart(Incarnation next)
{
    m_incarnation = std::move(next);
    m_startedAtMs = m_trueMs;
    m_isUp = true;
}

void FakeExecutor::end(const std::string& name, EndKind kind)
{
    Running ended = m_running.at(name);
    m_running.erase(name);
    m_spent[name] = std::max(m_spent[name], ended.run);
    m_ended.push_back({ m_nextEnd++, ended.task, ended.run, kind, {} });
    if (onEnd)
        onEnd(ended, kind);
}

Resources FakeExecutor::used() const
{
    Resources sum;
    for (const auto& [name, it] : m_running)
        sum += it.resources;
    return sum;
}

CommandResult FakeExecutor::start(const Running& what, std::int64_t deadlineMs, std::uint64_t token)
{
    if (token < m_token)
        return CommandResult::Fenced;
    m_token = token;
    std::string name = what.task.text();
    auto it = m_running.find(name);
    if (it != m_running.end() && it->second.run == what.run)
        return CommandResult::Accepted;
    auto spent = m_spent.find(name);
    if (it != m_running.end() || (spent != m_spent.end() && what.run <= spent->second)) {
        extendLease(deadlineMs);
        return CommandResult::Superseded;
    }
    if (deadlineMs <= clockMs())
        return CommandResult::TooLate;
    extendLease(deadlineMs);
    if (m_hardware.enforcesCapacity && !(used() + what.resources).fitsIn(m_hardware.capacity))
        return CommandResult::InsufficientCapacity;
    m_running[name] = what;
    if (onStart)
        onStart(what);
    return CommandResult::Accepted;
}

CommandResult FakeExecutor::stop(const TaskName& task, std::uint32_t run, std::uint64_t token)
{
    if (token < m_token)
        return CommandResult::Fenced;
    m_token = token;
    std::string name = task.text();
    auto it = m_running.find(name);
    if (it != m_running.end() && it->second.run <= run)
        end(name, EndKind::Stopped);
    m_spent[name] = std::max(m_spent[name], run);
    return CommandResult::Accepted;
}

bool FakeExecutor::acceptReportRequest(const ReportRequest& request)
{
    if (request.token < m_token)
        return false;
    m_token = request.token;
    if (request.deadlineMs)
        extendLease(*request.deadlineMs);
    for (const ReportedEnd& it : m_ended) {
        if (it.number <= request.ackCursor && it.number >= m_lapsedBefore && onAcknowledged)
            onAcknowledged(it);
    }
    std::erase_if(m_ended, [&](const ReportedEnd& it) { return it.number <= request.ackCursor; });
    return true;
}

ExecutorReport FakeExecutor::report() const
{
    ExecutorReport report;
    report.startedUnixMs = m_incarnation.startedUnixMs;
    report.clockMs = clockMs();
    for (const auto& [name, it] : m_running) {
        std::int64_t done = it.isLongRunning || !it.workMs ? 100 : 100 * (it.workMs - it.workLeftMs) / it.workMs;
        report.running.push_back({ it.task, it.run, {}, static_cast<std::uint32_t>(done), 0 });
    }
    report.ended = m_ended;
    return report;
}

ExecutorEntry FakeExecutor::entry() const
{
    ExecutorEntry entry;
    entry.id = m_incarnation.id;
    entry.service = "service";
    entry.address = m_incarnation.address;
    entry.dataCentre = m_hardware.dataCentre;
    entry.capacity = m_hardware.capacity;
    entry.labels = { "a", "r1" };
    entry.startedUnixMs = m_incarnation.startedUnixMs;
    return entry;
}

} // namespace plantainhold
