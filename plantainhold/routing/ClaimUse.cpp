// The states of one request's claim.

#include "plantainhold/routing/ClaimUse.h"

#include "plantainhold/routing/RequestOutcome.h"

namespace plantainhold {

namespace {

    ResultCode resultOf(ClaimState state)
    {
        switch (state) {
        case ClaimState::Recorded:
            return ResultCode::DoneEarlier;
        case ClaimState::InProgress:
            return ResultCode::RepeatInProgress;
        case ClaimState::KeyReused:
            return ResultCode::IdempotencyKeyReused;
        case ClaimState::NotAvailable:
            return ResultCode::ClaimUnavailable;
        default:
            return ResultCode::ClaimOutcomeUnknown;
        }
    }

} // namespace

void ClaimUse::asked()
{
    m_state = State::Asked;
}

std::optional<ResultCode> ClaimUse::decided(const ClaimVerdict& verdict)
{
    m_verdict = verdict;
    if (verdict.state == ClaimState::Won) {
        m_state = State::Held;
        return std::nullopt;
    }
    m_state = State::Settled;
    return resultOf(verdict.state);
}

bool ClaimUse::maySend(TimePoint now)
{
    m_hasLapsed = m_state == State::Held && now >= m_verdict.validUntil;
    return !m_hasLapsed;
}

ClaimUse::Settlement ClaimUse::settle(bool isAnswered, bool mayHaveRun)
{
    if (m_state != State::Held)
        return Settlement::None;
    bool mustKeep = isAnswered || mayHaveRun;
    m_state = mustKeep ? State::Settled : State::Releasing;
    return mustKeep ? Settlement::Finish : Settlement::Release;
}

void ClaimUse::released(bool isFree)
{
    m_state = isFree ? State::Settled : State::Doubtful;
}

ResultCode ClaimUse::tellable(ResultCode code) const
{
    bool mayBeHeld = m_state != State::None && m_state != State::Settled;
    bool isNotRun = outcomeKind(code) == OutcomeKind::NotRun;
    return isNotRun && mayBeHeld ? ResultCode::ClaimOutcomeUnknown : code;
}

} // namespace plantainhold
