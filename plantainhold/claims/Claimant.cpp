// One claim's life.

#include "plantainhold/claims/Claimant.h"

namespace plantainhold {

namespace {

    // Beyond the time that a holder may take, for its outcome to reach the log and this reader.
    constexpr Milliseconds s_outcomeSlack { 2000 };

} // namespace

Claimant::Claimant(const ClaimRecord& claim, const ClaimTimes& times, const ClaimRules& rules)
    : m_record(claim)
    , m_times(times)
    , m_rules(rules)
{
}

ClaimStep Claimant::claimSettled(AppendStatus status, TimePoint now)
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

ClaimStep Claimant::claimRead(ClaimEffect effect, const ClaimKeyState& state, TimePoint now)
{
    bool isUndecided = m_phase == Phase::Claiming || (m_phase == Phase::Withdrawing && !m_hasAnswered);
    if (effect == ClaimEffect::Lost && isUndecided) {
        m_phase = Phase::Closed;
        m_hasAnswered = true;
        return { .answer = verdictOnStandingClaim(state, m_record.bodyHash, now) };
    }
    if (effect == ClaimEffect::Won && m_phase == Phase::Claiming)
        return win(now);
    return {};
}

ClaimStep Claimant::lastWordSettled(AppendStatus status, TimePoint now)
{
    m_isAppending = false;
    if (status == AppendStatus::Appended)
        return lastWordRead();
    m_nextTry = now + m_times.retryPause;
    return {};
}

ClaimStep Claimant::lastWordRead()
{
    if (m_phase == Phase::Withdrawing)
        return close(ClaimState::NotAvailable);
    if (m_phase == Phase::Finishing)
        m_phase = Phase::Closed;
    return {};
}

ClaimStep Claimant::timePassed(TimePoint now)
{
    if (m_phase == Phase::Claiming && now >= m_times.giveUpAt)
        return m_rules.writesTombstone ? withdraw(now) : close(ClaimState::NotAvailable);
    if (m_phase == Phase::Withdrawing && !m_hasAnswered && now >= m_times.deadline)
        return answer(ClaimState::OutcomeUnknown);
    if (m_phase == Phase::Withdrawing || m_phase == Phase::Finishing)
        return retryLastWord(now);
    return {};
}

ClaimStep Claimant::finish(std::uint32_t result, std::uint32_t status, TimePoint now)
{
    m_record.hasEnded = true;
    m_record.result = result;
    m_record.status = status;
    return startLastWord(Phase::Finishing, now);
}

ClaimStep Claimant::abandon(TimePoint deadline, TimePoint now)
{
    m_hasAnswered = false;
    m_times.deadline = deadline;
    return withdraw(now);
}

ClaimStep Claimant::answer(ClaimState state)
{
    if (m_hasAnswered)
        return {};
    m_hasAnswered = true;
    return { .answer = ClaimVerdict { .state = state } };
}

ClaimStep Claimant::close(ClaimState state)
{
    m_phase = Phase::Closed;
    return answer(state);
}

ClaimStep Claimant::win(TimePoint now)
{
    if (m_rules.checksValidity && now >= m_times.validUntil)
        return m_rules.writesTombstone ? withdraw(now) : close(ClaimState::NotAvailable);
    m_phase = Phase::Won;
    ClaimStep step = answer(ClaimState::Won);
    step.answer->claimId = hexOf(m_record.id);
    step.answer->validUntil = m_rules.checksValidity ? m_times.validUntil : TimePoint::max();
    return step;
}

ClaimStep Claimant::withdraw(TimePoint now)
{
    return startLastWord(Phase::Withdrawing, now);
}

ClaimStep Claimant::startLastWord(Phase phase, TimePoint now)
{
    m_phase = phase;
    m_nextTry = now;
    m_retryUntil = now + m_times.retryFor;
    return retryLastWord(now);
}

ClaimStep Claimant::retryLastWord(TimePoint now)
{
    if (m_isAppending || now < m_nextTry)
        return {};
    if (now >= m_retryUntil) {
        // The claim stays in the log without a last word: repeats are told that its outcome is unknown.
        m_gaveUp = true;
        return close(ClaimState::OutcomeUnknown);
    }
    m_isAppending = true;
    bool isOutcome = m_phase == Phase::Finishing;
    return { .appendsAbandoned = !isOutcome, .appendsOutcome = isOutcome };
}

ClaimVerdict verdictOnStandingClaim(const ClaimKeyState& state, std::uint64_t bodyHash, TimePoint now)
{
    ClaimVerdict verdict;
    if (state.bodyHash != bodyHash) {
        verdict.state = ClaimState::KeyReused;
        return verdict;
    }
    if (state.phase == ClaimPhase::Ended) {
        verdict.state = ClaimState::Recorded;
        verdict.result = static_cast<ResultCode>(state.result);
        verdict.status = state.status;
        return verdict;
    }
    bool mayStillRun = now < state.readAt + state.busyLimit + s_outcomeSlack;
    verdict.state = mayStillRun ? ClaimState::InProgress : ClaimState::OutcomeUnknown;
    return verdict;
}

} // namespace plantainhold
