#include "plantainhold/entry/EventLog.h"

#include "plantainhold/util/BootClock.h"

#include <algorithm>
#include <charconv>
#include <fcntl.h>
#include <unistd.h>
#include <utility>

namespace plantainhold {

namespace {

    // The budget is a token bucket: its refill rate in bytes per second, and its size.
    constexpr double s_bytesPerSecond = 192'000;
    constexpr double s_burstBytes = 512'000;
    // Share of the budget that routine events cannot use.
    constexpr double s_reservedBytes = 96'000;
    constexpr std::size_t s_maxBufferedBytes = 512'000;
    constexpr std::size_t s_typicalLineBytes = 220;
    // Writes of up to PIPE_BUF bytes to a pipe are atomic.
    constexpr std::size_t s_atomicWriteBytes = 4'096;
    constexpr std::chrono::seconds s_droppedInterval { 1 };

    // Returns whether the event is logged for each job or each run.
    bool isRoutine(EventId id)
    {
        constexpr EventId s_routine[] = { EventId::JobAccepted, EventId::JobEnded, EventId::RunAssigned, EventId::RunEnded, EventId::RunPreempted, EventId::AdviceTaken, EventId::JobCancelRequested };
        return std::find(std::begin(s_routine), std::end(s_routine), id) != std::end(s_routine);
    }

    void appendNumber(std::string& text, std::int64_t value)
    {
        char digits[24];
        auto [end, error] = std::to_chars(digits, digits + sizeof(digits), value);
        text.append(digits, end);
    }

    void appendNumber(std::string& text, double value)
    {
        char digits[48];
        auto [end, error] = std::to_chars(digits, digits + sizeof(digits), value, std::chars_format::fixed, 3);
        if (error == std::errc())
            text.append(digits, end);
        else
            text += "null";
    }

    void appendText(std::string& text, std::string_view value)
    {
        text += '"';
        for (char c : value) {
            if (c == '"' || c == '\\')
                text += '\\';
            text += static_cast<unsigned char>(c) < 0x20 ? ' ' : c;
        }
        text += '"';
    }

    void appendValue(std::string& text, const EventField& field)
    {
        if (const auto* it = std::get_if<std::string_view>(&field.value))
            return appendText(text, *it);
        if (const auto* it = std::get_if<std::int64_t>(&field.value))
            return appendNumber(text, *it);
        if (const auto* it = std::get_if<double>(&field.value))
            return appendNumber(text, *it);
        text += std::get<bool>(field.value) ? "true" : "false";
    }

} // namespace

EventLog::EventLog(int descriptor, std::string instance)
    : m_descriptor(descriptor)
    , m_instance(std::move(instance))
    , m_budget(s_burstBytes)
    , m_refilledAt(BootClock::now())
{
    int flags = fcntl(m_descriptor, F_GETFL);
    if (flags >= 0)
        fcntl(m_descriptor, F_SETFL, flags | O_NONBLOCK);
}

bool EventLog::takeBudget(EventId id, std::size_t bytes)
{
    TimePoint now = BootClock::now();
    std::chrono::duration<double> elapsed = now - m_refilledAt;
    m_refilledAt = now;
    m_budget = std::min(s_burstBytes, m_budget + elapsed.count() * s_bytesPerSecond);
    double least = isRoutine(id) ? s_reservedBytes : 0;
    auto size = static_cast<double>(bytes);
    if (m_budget - size < least || m_buffer.size() + bytes > s_maxBufferedBytes)
        return false;
    m_budget -= size;
    return true;
}

void EventLog::note(EventId id, std::initializer_list<EventField> fields)
{
    if (!takeBudget(id, s_typicalLineBytes)) {
        ++m_dropped;
        ++m_droppedTotal;
        return;
    }
    reportDropped();
    append(id, fields);
}

void EventLog::reportDropped()
{
    TimePoint now = BootClock::now();
    if (!m_dropped || now < m_droppedReportedAt + s_droppedInterval)
        return;
    m_droppedReportedAt = now;
    append(EventId::EventsDropped, { { "lines", std::exchange(m_dropped, 0) } });
}

void EventLog::append(EventId id, std::initializer_list<EventField> fields)
{
    const EventInfo& info = eventInfo(id);
    m_buffer += R"({"unix_ms":)";
    appendNumber(m_buffer, BootClock::unixMs());
    m_buffer += R"(,"event":"PHE)";
    appendNumber(m_buffer, static_cast<std::int64_t>(id));
    m_buffer += R"(","name":")";
    m_buffer += info.name;
    m_buffer += R"(","instance":)";
    appendText(m_buffer, m_instance);
    for (const EventField& it : fields) {
        m_buffer += ",\"";
        m_buffer += it.key;
        m_buffer += "\":";
        appendValue(m_buffer, it);
    }
    m_buffer += "}\n";
}

void EventLog::flush()
{
    std::size_t written = 0;
    while (written < m_buffer.size()) {
        std::string_view rest = std::string_view(m_buffer).substr(written);
        std::size_t end = rest.substr(0, s_atomicWriteBytes).rfind('\n');
        // A line that is longer than the limit is written by itself.
        std::size_t size = (end == std::string_view::npos ? rest.find('\n') : end) + 1;
        ssize_t n = write(m_descriptor, rest.data(), size);
        if (n <= 0)
            break;
        written += static_cast<std::size_t>(n);
    }
    m_buffer.erase(0, written);
}

} // namespace plantainhold
