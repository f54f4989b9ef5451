#include "plantainhold/testing/jobs/FakeExecutor.h"

#include <algorithm>

namespace plantainhold {

namespace {
    constexpr std::int64_t s_longestLeaseMs = 10'000;
} // namespace

FakeExecutor::FakeExecutor(std::string id, Resources capacity, std::int64_t clockOffsetMs, double clockRate)
    : m_id(std::move(id))
    , m_capacity(capacity)
    , m_offset(clockOffsetMs)
    , m_rate(clockRate)
{
}

std::int64_t FakeExecutor::clockMs() const
{
    return m_offset + static_cast<std::int64_t>(static_cast<double>(m_trueMs) * m_rate);
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
    // By the platform's rules an acknowledgement after that does not count for these ends.
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

void FakeExecutor::restart(std::int64_t startedUnixMs)
{
    m_startedUnixMs = startedUnixMs;
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
        m_deadline = std::max(m_deadline, std::min(deadlineMs, clockMs() + s_longestLeaseMs));
        return CommandResult::Superseded;
    }
    if (deadlineMs <= clockMs())
        return CommandResult::TooLate;
    m_deadline = std::max(m_deadline, std::min(deadlineMs, clockMs() + s_longestLeaseMs));
    if (!(used() + what.resources).fitsIn(m_capacity))
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

bool FakeExecutor::report(const ReportRequest& request, ExecutorReport& report)
{
    if (request.token < m_token)
        return false;
    m_token = request.token;
    if (request.deadlineMs)
        m_deadline = std::max(m_deadline, std::min(*request.deadlineMs, clockMs() + s_longestLeaseMs));
    for (const EndRow& it : m_ended) {
        if (it.number <= request.ackCursor && it.number >= m_lapsedBefore && onAcknowledged)
            onAcknowledged(it);
    }
    std::erase_if(m_ended, [&](const EndRow& it) { return it.number <= request.ackCursor; });
    report.startedUnixMs = m_startedUnixMs;
    report.clockMs = clockMs();
    for (const auto& [name, it] : m_running) {
        std::int64_t done = it.isLongRunning || !it.workMs ? 100 : 100 * (it.workMs - it.workLeftMs) / it.workMs;
        report.running.push_back({ it.task, it.run, {}, static_cast<std::uint32_t>(done), 0 });
    }
    report.ended = m_ended;
    return true;
}

ExecutorEntry FakeExecutor::entry() const
{
    ExecutorEntry entry;
    entry.id = m_id;
    entry.service = "service";
    entry.address = "10.0.0.1:1";
    entry.capacity = m_capacity;
    entry.labels = { "a", "r1" };
    entry.startedUnixMs = m_startedUnixMs;
    return entry;
}

} // namespace plantainhold
