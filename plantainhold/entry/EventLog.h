// EventLog writes structured log lines to a file descriptor, one JSON object per line.
// Writing never blocks: lines are kept in a bounded buffer, a budget limits the bytes
// written per second, and the number of dropped lines is itself logged. Routine
// events, of which each job produces many, leave a share of the budget to all other
// events. Each write consists of whole lines, so that a reader never sees a partial one.
#pragma once

#include "plantainhold/base/EventSink.h"
#include "plantainhold/ports/Clock.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace plantainhold {

class EventLog final : public EventSink {
public:
    // Makes the descriptor non-blocking. Each line contains the instance's name. The class is not thread-safe.
    EventLog(int descriptor, std::string instance);

    void note(EventId id, std::initializer_list<EventField> fields) override;
    // Writes as much of the buffer as the descriptor accepts without blocking.
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
