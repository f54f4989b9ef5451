// Tells what happens to runs. A large owner starts and ends thousands of runs a
// second, so what happens to the runs of one step within a short time is told in one
// line: the step, and for each run its task's index, the run's number and the executor,
// as in "12/1@executor-7 13/2@executor-9".
#pragma once

#include "plantainhold/base/EventSink.h"
#include "plantainhold/jobs/ExecutorReport.h"
#include "plantainhold/ports/Clock.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace plantainhold {

class RunEventLog {
public:
    // The sink must outlive the journal. Not thread-safe, as the whole class.
    explicit RunEventLog(EventSink& events)
        : m_events(events)
    {
    }

    void assigned(const TaskName& task, std::uint32_t run, std::string_view executor, Milliseconds waited);
    void ended(const TaskName& task, std::uint32_t run, std::string_view executor, std::string_view how);
    // `by` says for whose sake: a job's id, or a reason.
    void stopped(const TaskName& task, std::uint32_t run, std::string_view executor, std::string_view by);

    // Tells what was gathered, once that was begun some time ago.
    void flushIfDue(TimePoint now);
    void flush();

private:
    struct Line {
        EventId event;
        std::string step;
        // How the runs ended or why they were stopped; empty for runs that begin.
        std::string cause;
        std::string runs;
        // Of the runs that begin, since their task could have begun.
        Milliseconds longestWait { 0 };
    };

    // The line that gathers such runs now.
    Line& lineFor(EventId event, const TaskName& task, std::string_view cause);
    static void add(Line& line, const TaskName& task, std::uint32_t run, std::string_view executor);
    void emit(const Line& line);

    EventSink& m_events;
    // Few at a time, newest last.
    std::vector<Line> m_lines;
    TimePoint m_flushedAt {};
};

} // namespace plantainhold
