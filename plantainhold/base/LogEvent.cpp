// Structured log lines written through glog. Empty values and values with whitespace,
// quotes or '=' are quoted, so that a line can always be split back into its fields.

#include "plantainhold/base/LogEvent.h"

#include "plantainhold/base/DecisionLog.h"

#include <array>
#include <glog/logging.h>

namespace plantainhold {

namespace {

    constexpr std::size_t s_valueLimitBytes = 512;

    void appendValue(std::string& text, std::string_view value)
    {
        value = value.substr(0, s_valueLimitBytes);
        bool isPlain = !value.empty() && value.find_first_of(" \"\n\r\t=") == std::string_view::npos;
        if (isPlain) {
            text += value;
            return;
        }
        text += '"';
        for (char c : value) {
            if (c == '"' || c == '\\')
                text += '\\';
            text += static_cast<unsigned char>(c) < ' ' ? ' ' : c;
        }
        text += '"';
    }

    void writeLine(EventSeverity severity, std::string_view line)
    {
        static constexpr std::array s_severities { google::GLOG_INFO, google::GLOG_WARNING, google::GLOG_ERROR };
        google::LogMessage(__FILE__, __LINE__, s_severities[static_cast<std::size_t>(severity)]).stream() << line;
    }

} // namespace

LogEvent::LogEvent(EventId id)
    : m_id(id)
{
}

LogEvent::~LogEvent()
{
    const EventInfo& info = eventInfo(m_id);
    std::string line = "PHE" + std::to_string(static_cast<int>(m_id)) + " ";
    line += info.name;
    line += m_text;
    writeLine(info.severity, line);
    if (m_decisions)
        m_decisions->record(m_subject, m_id, m_text);
}

LogEvent& LogEvent::field(std::string_view key, std::string_view value)
{
    m_text += ' ';
    m_text += key;
    m_text += '=';
    appendValue(m_text, value);
    return *this;
}

LogEvent& LogEvent::recordIn(DecisionLog& decisions, std::string_view subject)
{
    m_decisions = &decisions;
    m_subject = subject;
    return *this;
}

} // namespace plantainhold
