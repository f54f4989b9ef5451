// Numbered log events, defined in Events.inc. A log line has the form
// "PHE<number> <name> key=value ...".
#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace plantainhold {

enum class EventId : std::uint16_t {
#define PLANTAINHOLD_EVENT(name, number, severity, meaning) name = number,
#include "plantainhold/base/Events.inc"
#undef PLANTAINHOLD_EVENT
};

enum class EventSeverity : std::uint8_t { Info,
    Warning,
    Error };

struct EventInfo {
    EventId id;
    std::string_view name;
    EventSeverity severity;
    std::string_view meaning;
};

// Returns all events in the order of their definition. Thread-safe.
std::span<const EventInfo> allEvents();

// Returns the description of one event. Precondition: id is defined. Thread-safe.
const EventInfo& eventInfo(EventId id);

} // namespace plantainhold
