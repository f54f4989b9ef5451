// The state machine of one admitted request: its first attempt, retries, a hedge,
// and the result for the caller. It does no I/O: each event returns the next step.
// It tracks whether an attempt may have run, so that "not run" is reported only if
// no attempt can have run the request.
#pragma once

#include "plantainhold/routing/AttemptResult.h"

#include <optional>

namespace plantainhold {

enum class RequestStep : std::uint8_t {
    // Nothing to do until the next event.
    Wait,
    // Request a slot from the dispatcher; this retry costs no budget.
    Reselect,
    // Check the budgets, then request a slot; use a fresh connection.
    Retry,
    // Check the budgets, then request a slot for an attempt in parallel with the
    // running one.
    Hedge,
    // Like Hedge, because the newest attempt is unresponsive. That attempt goes
    // on, since it may only be slow, and cancelling it would lose the work of the
    // executor.
    Replace,
    // Report result() to the caller.
    Finish,
};

class RequestMachine {
public:
    struct Rules {
        bool isIdempotent = false;
        // Delay before a hedge; zero disables hedges.
        Milliseconds hedgeAfter { 0 };
        // An attempt without a response for this long is unresponsive; zero
        // disables the check.
        Duration unresponsiveAfter {};
        TimePoint deadline;
        // Each of these is false only in the negative control of a test or benchmark.
        bool retriesOnlyWhenSafe = true;
        bool reportsUnknown = true;
    };

    static constexpr int s_attemptLimit = 4;

    // Starts a request that waits for its first slot. No member function is
    // thread-safe.
    explicit RequestMachine(const Rules& rules);

    // The dispatcher granted a slot; an attempt starts.
    RequestStep granted(TimePoint now);
    // The dispatcher refused a slot.
    RequestStep refused(ResultCode code);
    // The budgets or the dispatcher did not allow a retry.
    RequestStep retryDenied();
    // The first byte of an attempt is about to be sent. Precondition: an attempt
    // is running.
    void sending(TimePoint now);
    // An attempt ended.
    RequestStep ended(const AttemptResult& result, TimePoint now);
    // Time has passed.
    RequestStep timer(TimePoint now);
    // The instance stops: what is certain is reported to the caller immediately.
    RequestStep stopped();
    // The caller disconnected while the request was waiting for a slot.
    RequestStep callerGone();

    // Returns when timer() must be called next.
    TimePoint nextTimer() const;

    // Precondition: the last step was Finish.
    ResultCode result() const { return m_result; }

    // Returns whether any attempt may have run the request or may still run it.
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
    // An unresponsive attempt is reported once.
    bool m_hasReportedUnresponsive = false;
    bool m_isFinished = false;
    bool m_mayHaveRun = false;
    ResultCode m_unknown = ResultCode::AnswerTimedOut;
    ResultCode m_result = ResultCode::Done;
};

} // namespace plantainhold
