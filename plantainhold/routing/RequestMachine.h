// The life of one admitted request: first attempt, retries, a hedge, and what
// the caller is told in the end. Pure: events in, the next step out. It keeps
// the proof of what may have run, so that "not run" is never said without one.
#pragma once

#include "plantainhold/routing/AttemptResult.h"

#include <optional>

namespace plantainhold {

enum class RequestStep : std::uint8_t {
    // Nothing to do until the next event.
    Wait,
    // Ask the dispatcher for a slot; a retry that costs no budget.
    Reselect,
    // Ask the budgets, then the dispatcher for a slot; on a fresh connection.
    Retry,
    // Ask the budgets, then for a slot beside the running attempt.
    Hedge,
    // The newest attempt is silent: as Hedge. The silent one goes on, since it may
    // only be slow, and cutting it would lose work that an executor really does.
    Replace,
    // Tell the caller result().
    Finish,
};

class RequestMachine {
public:
    struct Rules {
        bool isIdempotent = false;
        // Zero: no hedges.
        Milliseconds hedgeAfter { 0 };
        // An attempt unanswered for this long is silent. Zero: no attempt is.
        Duration unresponsiveAfter {};
        TimePoint deadline;
        // Each off only in a negative control.
        bool retriesOnlyWhenSafe = true;
        bool reportsUnknown = true;
    };

    static constexpr int s_attemptLimit = 4;

    // The request waits for its first slot. Not thread-safe, as all that follows.
    explicit RequestMachine(const Rules& rules);

    // The dispatcher gave a slot; an attempt begins.
    RequestStep granted(TimePoint now);
    // The dispatcher refused a slot.
    RequestStep refused(ResultCode code);
    // The budgets or the dispatcher did not allow a retry.
    RequestStep retryDenied();
    // The first byte of an attempt is about to leave. Precondition: an attempt is running.
    void sending(TimePoint now);
    // An attempt ended.
    RequestStep ended(const AttemptResult& result, TimePoint now);
    // Time has passed.
    RequestStep timer(TimePoint now);
    // The instance stops: the caller is told what is certain, at once.
    RequestStep stopped();
    // The caller has gone while the request was waiting for a slot.
    RequestStep callerGone();

    // When timer() has something to do.
    TimePoint nextTimer() const;

    // Precondition: the last step was Finish.
    ResultCode result() const { return m_result; }

    // Whether any attempt may have run the request, now or later.
    bool mayHaveRun() const { return m_mayHaveRun || m_sent > 0; }
    bool isWaitingForSlot() const { return m_isWaiting; }

private:
    bool mayHedge() const;
    bool mayReplace() const;
    RequestStep finish(ResultCode whenNotRun);
    RequestStep afterFailure(const AttemptResult& result, TimePoint now);

    const Rules m_rules;
    bool m_isWaiting = true;
    int m_attempts = 0;
    int m_running = 0;
    // Running attempts that have sent something.
    int m_sent = 0;
    TimePoint m_sentAt {};
    bool m_hasHedged = false;
    // Silence is told once an attempt.
    bool m_hasReportedUnresponsive = false;
    bool m_isFinished = false;
    bool m_mayHaveRun = false;
    ResultCode m_unknown = ResultCode::AnswerTimedOut;
    ResultCode m_result = ResultCode::Done;
};

} // namespace plantainhold
