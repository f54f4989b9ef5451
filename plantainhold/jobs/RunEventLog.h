// Logs starts and ends of runs. A large owner starts and ends thousands of runs a second, so events
// of one step that happen close together share one line. The line names the step and, for each run,
// the task's index, the run number and the executor, as in "12/1@executor-7 13/2@executor-9".
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
    // The sink must outlive this object. No method of this class is thread-safe.
    explicit RunEventLog(EventSink& events)
        : m_events(events)
    {
    }

    void assigned(const TaskName& task, std::uint32_t run, std::string_view executor, Milliseconds waited);
    void ended(const TaskName& task, std::uint32_t run, std::string_view executor, std::string_view how);
    // `by` is the cause: the id of the job that preempts, or a reason.
    void stopped(const TaskName& task, std::uint32_t run, std::string_view executor, std::string_view by);

    // Writes the collected lines if the last flush was long enough ago.
    void flushIfDue(TimePoint now);
    void flush();

private:
    struct Line {
        EventId event;
        std::string step;
        // How the runs ended or why they were stopped; empty for starts.
        std::string cause;
        std::string runs;
        // Starts only: longest time that a task waited.
        Milliseconds longestWait { 0 };
    };

    // Returns the line that collects such events, and adds one if needed.
    Line& lineFor(EventId event, const TaskName& task, std::string_view cause);
    static void add(Line& line, const TaskName& task, std::uint32_t run, std::string_view executor);
    void emit(const Line& line);

    EventSink& m_events;
    // Only a few at a time, newest last.
    std::vector<Line> m_lines;
    TimePoint m_flushedAt {};
};

} // namespace plantainhold
