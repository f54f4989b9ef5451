// Notes on single requests for `plantainhold explain`, and their log lines.
// Every note is kept for explain; under overload only the first lines a second
// are logged, since a refusal must stay cheaper than the work it refuses.
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
    // Lines a second over all requests.
    static constexpr std::int64_t s_linesPerSecond = 50;

    RequestEvents(DecisionLog& decisions, const Clock& clock);

    // A request ended without an answer from an executor. Thread-safe, as all that follows.
    void ended(std::string_view requestId, std::string_view team, std::string_view service, ResultCode code);

    // An executor was chosen. Only remembered, as it happens to every request.
    void routed(std::string_view requestId, std::string_view executor, Milliseconds waited);

    // Another attempt, or that none was allowed; cause is how the last one ended.
    void attempt(EventId event, std::string_view requestId, std::string_view executor, std::string_view cause);

    // An executor's health changed.
    void health(const HealthEvent& event);

private:
    bool mayLog();

    DecisionLog& m_decisions;
    const Clock& m_clock;
    std::atomic<std::int64_t> m_second { 0 };
    std::atomic<std::int64_t> m_lines { 0 };
};

} // namespace plantainhold
