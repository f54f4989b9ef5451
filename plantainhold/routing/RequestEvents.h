// Records decisions about single requests for `plantainhold explain` and writes
// their log lines. Every decision is recorded; the log is limited to the first
// lines in each second, because a refusal must cost less than the refused work.
#pragma once

#include "plantainhold/base/Event.h"
#include "plantainhold/base/ResultCode.h"
#include "plantainhold/ports/Clock.h"
#include "plantainhold/routing/Dispatcher.h"

#include <atomic>
#include <string_view>

namespace plantainhold {

class DecisionLog;

class RequestEvents {
public:
    // Log lines per second over all requests.
    static constexpr std::int64_t s_linesPerSecond = 50;

    RequestEvents(DecisionLog& decisions, const Clock& clock);

    // A request ended without a response from an executor. All member functions
    // are thread-safe.
    void ended(std::string_view requestId, std::string_view team, std::string_view service, ResultCode code);

    // An executor was chosen. Recorded but not logged, as it happens to every request.
    void routed(std::string_view requestId, std::string_view executor, Milliseconds waited);

    // Another attempt was started or denied; cause is how the previous one ended.
    void attempt(EventId event, std::string_view requestId, std::string_view executor, std::string_view cause);

    // The health of an executor changed.
    void health(const HealthEvent& event);

private:
    bool mayLog();

    DecisionLog& m_decisions;
    const Clock& m_clock;
    std::atomic<std::int64_t> m_second { 0 };
    std::atomic<std::int64_t> m_lines { 0 };
};

} // namespace plantainhold
