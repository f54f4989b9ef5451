// The log of one simulation, for reading by hand: what happened in its world, and the events that
// the schedulers noted.
#pragma once

#include "plantainhold/base/EventSink.h"

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace plantainhold {

class SimulationTrace final : public EventSink {
public:
    // No method of this class is thread-safe.
    void setNow(std::int64_t ms) { m_now = ms; }
    // Does nothing unless the trace is enabled.
    void add(std::string_view what, std::initializer_list<EventField> fields);
    void note(EventId id, std::initializer_list<EventField> fields) override;

    void enable() { m_isEnabled = true; }
    const std::string& text() const { return m_text; }

private:
    std::int64_t m_now = 0;
    bool m_isEnabled = false;
    std::string m_text;
};

} // namespace plantainhold
