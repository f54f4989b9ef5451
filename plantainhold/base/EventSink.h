// Interface for structured event logging. Each event has a number, a name and typed
// fields, and is written as one line.
#pragma once

#include "plantainhold/base/Event.h"

#include <concepts>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>

namespace plantainhold {

// EventField is a key with a typed value. It holds views and must not outlive the
// strings that it was made from.
struct EventField {
    std::string_view key;
    std::variant<std::int64_t, double, bool, std::string_view> value;

    EventField(std::string_view name, std::string_view text)
        : key(name)
        , value(text)
    {
    }
    EventField(std::string_view name, const char* text)
        : EventField(name, std::string_view(text))
    {
    }
    EventField(std::string_view name, const std::string& text)
        : EventField(name, std::string_view(text))
    {
    }
    EventField(std::string_view name, bool flag)
        : key(name)
        , value(flag)
    {
    }
    EventField(std::string_view name, double number)
        : key(name)
        , value(number)
    {
    }
    template <std::integral T>
    EventField(std::string_view name, T number)
        : key(name)
        , value(static_cast<std::int64_t>(number))
    {
    }
};

class EventSink {
public:
    virtual ~EventSink() = default;

    // Writes one event. Never blocks. The views in `fields` need to be valid only for
    // the duration of the call. Not thread-safe.
    virtual void note(EventId id, std::initializer_list<EventField> fields) = 0;
};

// Discards all events; for tests and tools.
class NullEventSink final : public EventSink {
public:
    void note(EventId, std::initializer_list<EventField>) override { }
};

} // namespace plantainhold
