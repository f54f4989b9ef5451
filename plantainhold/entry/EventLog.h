// Structured log lines on standard output: one JSON object a line. Writing never
// blocks: lines wait in a bounded buffer, a budget bounds what is written a second,
// and what was dropped is counted in the log itself. Routine lines, of which there
// are many for each job, leave a part of the budget to all others. Each write holds
// whole lines, so that a reader never sees a part of one.
#pragma once

#include "plantainhold/base/EventSink.h"
#include "plantainhold/ports/Clock.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace plantainhold {

class EventLog final : public EventSink {
public:
    // Makes the descriptor non-blocking. The instance's name stands in each line. Not thread-safe, as the whole class.
    EventLog(int descriptor, std::string instance);

    void note(EventId id, std::initializer_list<EventField> fields) override;
    // Writes what the reader takes now.
    void flush();
    std::uint64_t droppedLines() const { return m_droppedTotal; }

private:
    bool takeBudget(EventId id, std::size_t bytes);
    void reportDropped();
    void append(EventId id, std::initializer_list<EventField> fields);

    const int m_descriptor;
    const std::string m_instance;
    std::string m_buffer;
    double m_budget;
    TimePoint m_refilledAt;
    std::uint64_t m_dropped = 0;
    std::uint64_t m_droppedTotal = 0;
    TimePoint m_droppedReportedAt {};
};

} // namespace plantainhold
