// Builds one structured log line and writes it in the destructor:
//
//     LogEvent(EventId::ConfigInForce).field("version", 7);
//
// recordIn() also stores the line in a DecisionLog, for `plantainhold explain ID`.
#pragma once

#include "plantainhold/base/Event.h"

#include <concepts>
#include <string>
#include <string_view>

namespace plantainhold {

class DecisionLog;

class LogEvent {
public:
    // An object must be used by one thread only; threads may use separate objects
    // concurrently.
    explicit LogEvent(EventId id);
    ~LogEvent();
    LogEvent(const LogEvent&) = delete;
    LogEvent& operator=(const LogEvent&) = delete;

    LogEvent& field(std::string_view key, std::string_view value);

    template <std::integral T>
    LogEvent& field(std::string_view key, T value)
    {
        return field(key, std::string_view(std::to_string(value)));
    }

    // Also records the finished line in `decisions` under this request or task id.
    // Precondition: `decisions` outlives this object.
    LogEvent& recordIn(DecisionLog& decisions, std::string_view subject);

private:
    EventId m_id;
    std::string m_text;
    DecisionLog* m_decisions = nullptr;
    std::string m_subject;
};

} // namespace plantainhold
