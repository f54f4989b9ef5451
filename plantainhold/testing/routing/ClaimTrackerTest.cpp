// Tests that "not run" is reported only while the key is certainly free.

#include "plantainhold/routing/ClaimTracker.h"

#include <catch2/catch.hpp>
#include <vector>

namespace plantainhold {

namespace {

    ClaimDecision wonUntil(TimePoint until)
    {
        ClaimDecision decision;
        decision.state = ClaimState::Won;
        decision.claimId = "claim-1";
        decision.validUntil = until;
        return decision;
    }

    constexpr TimePoint s_lapse { Milliseconds(100) };

} // namespace

TEST_CASE("a result without a claim is reported unchanged")
{
    ClaimTracker tracker;
    CHECK(tracker.maySend(s_lapse));
    CHECK(tracker.finalize(false, false) == ClaimTracker::FinalAction::None);
    CHECK(tracker.reportableResult(ResultCode::QueueFull) == ResultCode::QueueFull);
}

TEST_CASE("not run is reported only after the release is in the log")
{
    ClaimTracker tracker;
    tracker.requested();
    CHECK(tracker.reportableResult(ResultCode::InstanceStopping) == ResultCode::ClaimOutcomeUnknown);
    CHECK_FALSE(tracker.decided(wonUntil(s_lapse)));
    CHECK(tracker.reportableResult(ResultCode::ExecutorsRefused) == ResultCode::ClaimOutcomeUnknown);
    REQUIRE(tracker.finalize(false, false) == ClaimTracker::FinalAction::Release);
    CHECK(tracker.isReleasing());
    CHECK(tracker.reportableResult(ResultCode::ExecutorsRefused) == ResultCode::ClaimOutcomeUnknown);
    tracker.released(false);
    CHECK(tracker.reportableResult(ResultCode::ExecutorsRefused) == ResultCode::ClaimOutcomeUnknown);
    tracker.released(true);
    CHECK(tracker.reportableResult(ResultCode::ExecutorsRefused) == ResultCode::ExecutorsRefused);
}

TEST_CASE("a request that ran or may have run keeps its key and is finalized once")
{
    for (bool isAnswered : { false, true }) {
        ClaimTracker tracker;
        tracker.requested();
        REQUIRE_FALSE(tracker.decided(wonUntil(s_lapse)));
        CHECK(tracker.finalize(isAnswered, !isAnswered) == ClaimTracker::FinalAction::Finish);
        CHECK(tracker.finalize(isAnswered, !isAnswered) == ClaimTracker::FinalAction::None);
        CHECK(tracker.reportableResult(ResultCode::Done) == ResultCode::Done);
    }
}

TEST_CASE("a claim allows sending until its validity ends, and each refusal has its result code")
{
    ClaimTracker tracker;
    tracker.requested();
    REQUIRE_FALSE(tracker.decided(wonUntil(s_lapse)));
    CHECK(tracker.maySend(s_lapse - Milliseconds(1)));
    CHECK_FALSE(tracker.maySend(s_lapse));
    CHECK(tracker.hasLapsed());
    const std::vector<std::pair<ClaimState, ResultCode>> refusals {
        { ClaimState::Recorded, ResultCode::DoneEarlier },
        { ClaimState::InProgress, ResultCode::RepeatInProgress },
        { ClaimState::KeyReused, ResultCode::IdempotencyKeyReused },
        { ClaimState::NotAvailable, ResultCode::ClaimUnavailable },
        { ClaimState::OutcomeUnknown, ResultCode::ClaimOutcomeUnknown },
    };
    for (const auto& [state, code] : refusals) {
        ClaimDecision decision;
        decision.state = state;
        ClaimTracker refused;
        refused.requested();
        CHECK(refused.decided(decision) == code);
        CHECK(refused.finalize(false, false) == ClaimTracker::FinalAction::None);
    }
}

} // namespace plantainhold
