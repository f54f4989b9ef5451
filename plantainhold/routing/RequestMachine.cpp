// A request finishes once; later events do not change its result.

#include "plantainhold/routing/RequestMachine.h"

#include "plantainhold/routing/RequestOutcome.h"

#include <algorithm>

namespace plantainhold {

RequestMachine::RequestMachine(const Rules& rules)
    : m_rules(rules)
{
}

RequestStep RequestMachine::granted(TimePoint)
{
    m_isWaiting = false;
    ++m_attempts;
    ++m_running;
    return RequestStep::Wait;
}

RequestStep RequestMachine::refused(ResultCode code)
{
    m_isWaiting = false;
    return m_running > 0 ? RequestStep::Wait : finish(code);
}

RequestStep RequestMachine::retryDenied()
{
    m_isWaiting = false;
    return m_running > 0 ? RequestStep::Wait : finish(ResultCode::ExecutorsRefused);
}

void RequestMachine::sending(TimePoint now)
{
    m_sentAt = now;
    m_hasReportedUnresponsive = false;
    ++m_sent;
}

RequestStep RequestMachine::ended(const AttemptResult& result, TimePoint now)
{
    --m_running;
    if (result.startedSending)
        --m_sent;
    if (::plantainhold::mayHaveRun(result.end)) {
        m_mayHaveRun = true;
        m_unknown = resultOf(result.end);
    }
    if (m_isFinished)
        return RequestStep::Wait;
    if (result.end == AttemptEnd::Answered) {
        m_result = ResultCode::Done;
        m_isFinished = true;
        return RequestStep::Finish;
    }
    return m_running > 0 || m_isWaiting ? RequestStep::Wait : afterFailure(result, now);
}

RequestStep RequestMachine::afterFailure(const AttemptResult& result, TimePoint now)
{
    bool isExhausted = m_attempts >= s_attemptLimit || now >= m_rules.deadline;
    bool isSafe = !m_mayHaveRun || m_rules.isIdempotent || !m_rules.retriesOnlyWhenSafe;
    if (isExhausted || !isSafe)
        return finish(resultOf(result.end));
    m_isWaiting = true;
    bool nothingSent = result.end == AttemptEnd::ConnectFailed || result.end == AttemptEnd::NotSent;
    return nothingSent ? RequestStep::Reselect : RequestStep::Retry;
}

RequestStep RequestMachine::timer(TimePoint now)
{
    if (m_isFinished)
        return RequestStep::Wait;
    if (now >= m_rules.deadline)
        return finish(ResultCode::DeadlineUnreachable);
    if (now < nextTimer())
        return RequestStep::Wait;
    if (mayHedge()) {
        m_hasHedged = true;
        return RequestStep::Hedge;
    }
    m_hasReportedUnresponsive = true;
    return RequestStep::Replace;
}

RequestStep RequestMachine::stopped()
{
    if (m_isFinished)
        return RequestStep::Wait;
    m_unknown = ResultCode::StoppedInFlight;
    return finish(ResultCode::InstanceStopping);
}

RequestStep RequestMachine::callerGone()
{
    if (m_isFinished || m_running > 0)
        return RequestStep::Wait;
    return finish(ResultCode::CallerGone);
}

bool RequestMachine::mayHedge() const
{
    return m_rules.isIdempotent && m_rules.hedgeAfter > Milliseconds::zero() && !m_hasHedged && m_running == 1 && m_sent == 1;
}

bool RequestMachine::mayReplace() const
{
    bool isAllowed = m_rules.isIdempotent && m_rules.unresponsiveAfter > Duration::zero() && m_attempts < s_attemptLimit;
    return isAllowed && !m_hasReportedUnresponsive && m_running > 0 && m_sent == m_running;
}

TimePoint RequestMachine::nextTimer() const
{
    TimePoint next = m_rules.deadline;
    if (mayHedge())
        next = std::min<TimePoint>(next, m_sentAt + m_rules.hedgeAfter);
    else if (mayReplace())
        next = std::min<TimePoint>(next, m_sentAt + m_rules.unresponsiveAfter);
    return next;
}

RequestStep RequestMachine::finish(ResultCode whenNotRun)
{
    if (m_isFinished)
        return RequestStep::Wait;
    m_isFinished = true;
    m_isWaiting = false;
    bool isUnknown = mayHaveRun();
    m_result = isUnknown ? m_unknown : whenNotRun;
    if (isUnknown && !m_rules.reportsUnknown)
        m_result = ResultCode::ExecutorsRefused;
    return RequestStep::Finish;
}

} // namespace plantainhold
