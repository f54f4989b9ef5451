#include "plantainhold/jobs/RunEventLog.h"

#include <algorithm>
#include <utility>

namespace plantainhold {

namespace {

    constexpr Milliseconds s_flushInterval { 400 };
    // Bytes of the runs in one line; the log writes lines whole.
    constexpr std::size_t s_maxRunBytes = 2'000;
    // Lines are found by a search from the newest one on.
    constexpr std::size_t s_maxLines = 200;

    std::string stepOf(const TaskName& task)
    {
        return task.job + '.' + std::to_string(task.occurrence) + '.' + std::to_string(task.step);
    }

} // namespace

void RunEventLog::assigned(const TaskName& task, std::uint32_t run, std::string_view executor, Milliseconds waited)
{
    Line& line = lineFor(EventId::RunAssigned, task, {});
    line.longestWait = std::max(line.longestWait, waited);
    add(line, task, run, executor);
}

void RunEventLog::ended(const TaskName& task, std::uint32_t run, std::string_view executor, std::string_view how)
{
    add(lineFor(EventId::RunEnded, task, how), task, run, executor);
}

void RunEventLog::stopped(const TaskName& task, std::uint32_t run, std::string_view executor, std::string_view by)
{
    add(lineFor(EventId::RunPreempted, task, by), task, run, executor);
}

RunEventLog::Line& RunEventLog::lineFor(EventId event, const TaskName& task, std::string_view cause)
{
    std::string step = stepOf(task);
    auto found = std::find_if(m_lines.rbegin(), m_lines.rend(), [&](const Line& it) { return it.event == event && it.step == step && it.cause == cause; });
    if (found != m_lines.rend() && found->runs.size() < s_maxRunBytes)
        return *found;
    if (m_lines.size() >= s_maxLines)
        flush();
    return m_lines.emplace_back(Line { event, std::move(step), std::string(cause), {}, Milliseconds(0) });
}

void RunEventLog::add(Line& line, const TaskName& task, std::uint32_t run, std::string_view executor)
{
    if (!line.runs.empty())
        line.runs += ' ';
    line.runs += std::to_string(task.index) + '/' + std::to_string(run) + '@';
    line.runs += executor;
}

void RunEventLog::emit(const Line& line)
{
    if (line.event == EventId::RunAssigned)
        m_events.note(line.event, { { "step", line.step }, { "runs", line.runs }, { "longest_wait_ms", line.longestWait.count() } });
    else
        m_events.note(line.event, { { "step", line.step }, { line.event == EventId::RunEnded ? "how" : "by", line.cause }, { "runs", line.runs } });
}

void RunEventLog::flushIfDue(TimePoint now)
{
    if (now < m_flushedAt + s_flushInterval)
        return;
    m_flushedAt = now;
    flush();
}

void RunEventLog::flush()
{
    for (const Line& it : m_lines)
        emit(it);
    m_lines.clear();
}

} // namespace plantainhold
