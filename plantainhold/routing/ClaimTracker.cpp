// State transitions of the claim of one request.

#include "plantainhold/routing/ClaimTracker.h"

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

void ClaimTracker::requested()
{
    m_state = State::Requested;
}

std::optional<ResultCode> ClaimTracker::decided(const ClaimDecision& decision)
{
    m_decision = decision;
    if (decision.state == ClaimState::Won) {
        m_state = State::Held;
        return std::nullopt;
    }
    m_state = State::Settled;
    return resultOf(decision.state);
}

bool ClaimTracker::maySend(TimePoint now)
{
    m_hasLapsed = m_state == State::Held && now >= m_decision.validUntil;
    return !m_hasLapsed;
}

ClaimTracker::FinalAction ClaimTracker::finalize(bool isAnswered, bool mayHaveRun)
{
    if (m_state != State::Held)
        return FinalAction::None;
    bool mustKeep = isAnswered || mayHaveRun;
    m_state = mustKeep ? State::Settled : State::Releasing;
    return mustKeep ? FinalAction::Finish : FinalAction::Release;
}

void ClaimTracker::released(bool isFree)
{
    m_state = isFree ? State::Settled : State::Uncertain;
}

ResultCode ClaimTracker::reportableResult(ResultCode code) const
{
    bool mayBeHeld = m_state != State::None && m_state != State::Settled;
    bool isNotRun = outcomeKind(code) == OutcomeKind::NotRun;
    return isNotRun && mayBeHeld ? ResultCode::ClaimOutcomeUnknown : code;
}

} // namespace plantainhold
