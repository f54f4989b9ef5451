// Decides which events are logged and which are only recorded for explain.

#include "plantainhold/routing/RequestEvents.h"

#include "plantainhold/base/DecisionLog.h"
#include "plantainhold/base/LogEvent.h"
#include "plantainhold/routing/RequestOutcome.h"

#include <array>
#include <string>

namespace plantainhold {

RequestEvents::RequestEvents(DecisionLog& decisions, const Clock& clock)
    : m_decisions(decisions)
    , m_clock(clock)
{
}

bool RequestEvents::mayLog()
{
    std::int64_t second = std::chrono::duration_cast<std::chrono::seconds>(m_clock.now().time_since_epoch()).count();
    // A race at the start of a second lets a few more lines through, which is harmless.
    if (m_second.exchange(second, std::memory_order_relaxed) != second)
        m_lines = 0;
    return m_lines.fetch_add(1, std::memory_order_relaxed) < s_linesPerSecond;
}

void RequestEvents::ended(std::string_view requestId, std::string_view team, std::string_view service, ResultCode code)
{
    bool isUnknown = outcomeKind(code) == OutcomeKind::Unknown;
    EventId event = isUnknown ? EventId::RequestOutcomeUnknown : EventId::RequestRefused;
    if (mayLog()) {
        LogEvent(event).field("request", requestId).field("team", team).field("service", service).field("result", resultLabel(code)).field("reason", resultInfo(code).name).recordIn(m_decisions, requestId);
        return;
    }
    m_decisions.record(requestId, event, " result=" + resultLabel(code) + " reason=" + std::string(resultInfo(code).name));
}

void RequestEvents::routed(std::string_view requestId, std::string_view executor, Milliseconds waited)
{
    m_decisions.recordRoutine(requestId, EventId::RequestRouted, " executor=" + std::string(executor) + " waited_ms=" + std::to_string(waited.count()) + " reason=\"least cost of those with a free slot\"");
}

void RequestEvents::attempt(EventId event, std::string_view requestId, std::string_view executor, std::string_view cause)
{
    if (mayLog()) {
        LogEvent(event).field("request", requestId).field("executor", executor).field("cause", cause).recordIn(m_decisions, requestId);
        return;
    }
    m_decisions.record(requestId, event, " executor=" + std::string(executor) + " cause=" + std::string(cause));
}

void RequestEvents::health(const HealthEvent& event)
{
    static constexpr std::array s_events { EventId::ExecutorRestored, EventId::ExecutorEjected, EventId::ExecutorRestored, EventId::ExecutorLeaving };
    LogEvent(s_events[static_cast<std::size_t>(event.change)]).field("executor", event.executor).field("cause", nameOf(event.cause)).recordIn(m_decisions, event.executor);
}

} // namespace plantainhold
