// State transitions of one claim.

#include "plantainhold/claims/ClaimLifecycle.h"

namespace plantainhold {

namespace {

    // Time beyond a holder's limit for its outcome to reach the log and this reader.
    constexpr Milliseconds s_outcomeSlack { 2000 };

} // namespace

ClaimLifecycle::ClaimLifecycle(const ClaimRecord& claim, const ClaimTimes& times, const ClaimRules& rules)
    : m_record(claim)
    , m_times(times)
    , m_rules(rules)
{
}

ClaimStep ClaimLifecycle::claimAppendCompleted(AppendStatus status, TimePoint now)
{
    if (m_phase != Phase::Claiming)
        return {};
    if (status == AppendStatus::Refused)
        return close(ClaimState::NotAvailable);
    if (status == AppendStatus::Appended && !m_rules.readsBack)
        return win(now);
    if (status == AppendStatus::Unknown && !m_rules.writesTombstone)
        return close(ClaimState::NotAvailable);
    return {};
}

ClaimStep ClaimLifecycle::claimRead(ClaimEffect effect, const ClaimKeyState& state, TimePoint now)
{
    bool isUndecided = m_phase == Phase::Claiming || (m_phase == Phase::Withdrawing && !m_hasDecided);
    if (effect == ClaimEffect::Lost && isUndecided) {
        m_phase = Phase::Closed;
        m_hasDecided = true;
        return { .decision = decisionForTakenKey(state, m_record.bodyHash, now) };
    }
    if (effect == ClaimEffect::Won && m_phase == Phase::Claiming)
        return win(now);
    return {};
}

ClaimStep ClaimLifecycle::finalAppendCompleted(AppendStatus status, TimePoint now)
{
    m_isAppending = false;
    if (status == AppendStatus::Appended)
        return finalRecordRead();
    m_nextTry = now + m_times.retryInterval;
    return {};
}

ClaimStep ClaimLifecycle::finalRecordRead()
{
    if (m_phase == Phase::Withdrawing)
        return close(ClaimState::NotAvailable);
    if (m_phase == Phase::Finishing)
        m_phase = Phase::Closed;
    return {};
}

ClaimStep ClaimLifecycle::timePassed(TimePoint now)
{
    if (m_phase == Phase::Claiming && now >= m_times.giveUpAt)
        return m_rules.writesTombstone ? withdraw(now) : close(ClaimState::NotAvailable);
    if (m_phase == Phase::Withdrawing && !m_hasDecided && now >= m_times.deadline)
        return decide(ClaimState::OutcomeUnknown);
    if (m_phase == Phase::Withdrawing || m_phase == Phase::Finishing)
        return retryFinalRecord(now);
    return {};
}

ClaimStep ClaimLifecycle::finish(std::uint32_t result, std::uint32_t status, TimePoint now)
{
    m_record.hasEnded = true;
    m_record.result = result;
    m_record.status = status;
    return startFinalRecord(Phase::Finishing, now);
}

ClaimStep ClaimLifecycle::abandon(TimePoint deadline, TimePoint now)
{
    m_hasDecided = false;
    m_times.deadline = deadline;
    return withdraw(now);
}

ClaimStep ClaimLifecycle::decide(ClaimState state)
{
    if (m_hasDecided)
        return {};
    m_hasDecided = true;
    return { .decision = ClaimDecision { .state = state } };
}

ClaimStep ClaimLifecycle::close(ClaimState state)
{
    m_phase = Phase::Closed;
    return decide(state);
}

ClaimStep ClaimLifecycle::win(TimePoint now)
{
    if (m_rules.checksValidity && now >= m_times.validUntil)
        return m_rules.writesTombstone ? withdraw(now) : close(ClaimState::NotAvailable);
    m_phase = Phase::Won;
    ClaimStep step = decide(ClaimState::Won);
    step.decision->claimId = hexOf(m_record.id);
    step.decision->validUntil = m_rules.checksValidity ? m_times.validUntil : TimePoint::max();
    return step;
}

ClaimStep ClaimLifecycle::withdraw(TimePoint now)
{
    return startFinalRecord(Phase::Withdrawing, now);
}

ClaimStep ClaimLifecycle::startFinalRecord(Phase phase, TimePoint now)
{
    m_phase = phase;
    m_nextTry = now;
    m_retryUntil = now + m_times.retryFor;
    return retryFinalRecord(now);
}

ClaimStep ClaimLifecycle::retryFinalRecord(TimePoint now)
{
    if (m_isAppending || now < m_nextTry)
        return {};
    if (now >= m_retryUntil) {
        // The claim stays in the log without a final record; repeats get OutcomeUnknown.
        m_gaveUp = true;
        return close(ClaimState::OutcomeUnknown);
    }
    m_isAppending = true;
    bool isOutcome = m_phase == Phase::Finishing;
    return { .appendsAbandoned = !isOutcome, .appendsOutcome = isOutcome };
}

ClaimDecision decisionForTakenKey(const ClaimKeyState& state, std::uint64_t bodyHash, TimePoint now)
{
    ClaimDecision decision;
    if (state.bodyHash != bodyHash) {
        decision.state = ClaimState::KeyReused;
        return decision;
    }
    if (state.phase == ClaimPhase::Ended) {
        decision.state = ClaimState::Recorded;
        decision.result = static_cast<ResultCode>(state.result);
        decision.status = state.status;
        return decision;
    }
    bool mayStillRun = now < state.readAt + state.busyLimit + s_outcomeSlack;
    decision.state = mayStillRun ? ClaimState::InProgress : ClaimState::OutcomeUnknown;
    return decision;
}

} // namespace plantainhold
