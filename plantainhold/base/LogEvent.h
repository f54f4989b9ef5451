// One structured log line, written when the object goes out of scope:
//
//     LogEvent(EventId::ConfigInForce).field("version", 7);
//
// recordIn() also keeps the line for `plantainhold explain ID`.
#pragma once

#include "plantainhold/base/Event.h"

#include <concepts>
#include <string>
#include <string_view>

namespace plantainhold {

class DecisionLog;

class LogEvent {
public:
    // Thread-safe as long as one thread uses one object.
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

    // Keeps the finished line under this request or task id.
    LogEvent& recordIn(DecisionLog& decisions, std::string_view subject);

private:
    EventId m_id;
    std::string m_text;
    DecisionLog* m_decisions = nullptr;
    std::string m_subject;
};

} // namespace plantainhold
