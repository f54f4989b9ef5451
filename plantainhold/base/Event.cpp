// The event table, expanded from Events.inc.

#include "plantainhold/base/Event.h"

#include <algorithm>
#include <array>

namespace plantainhold {

namespace {

    constexpr auto s_events = std::to_array<EventInfo>({
#define PLANTAINHOLD_EVENT(name, number, severity, meaning) { EventId::name, #name, EventSeverity::severity, meaning },
#include "plantainhold/base/Events.inc"
#undef PLANTAINHOLD_EVENT
    });

} // namespace

std::span<const EventInfo> allEvents()
{
    return s_events;
}

const EventInfo& eventInfo(EventId id)
{
    auto it = std::find_if(s_events.begin(), s_events.end(), [id](const EventInfo& info) { return info.id == id; });
    return it == s_events.end() ? s_events.front() : *it;
}

} // namespace plantainhold
