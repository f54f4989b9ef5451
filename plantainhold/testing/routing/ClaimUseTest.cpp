// "Not run" is told only while the key is free; every order of events is played.

#include "plantainhold/routing/ClaimUse.h"

#include <catch2/catch.hpp>
#include <vector>

namespace plantainhold {

namespace {

    ClaimVerdict wonUntil(TimePoint until)
    {
        ClaimVerdict verdict;
        verdict.state = ClaimState::Won;
        verdict.claimId = "claim-1";
        verdict.validUntil = until;
        return verdict;
    }

    constexpr TimePoint s_lapse { Milliseconds(100) };

} // namespace

TEST_CASE("a request without a claim is told what it is")
{
    ClaimUse use;
    CHECK(use.maySend(s_lapse));
    CHECK(use.settle(false, false) == ClaimUse::Settlement::None);
    CHECK(use.tellable(ResultCode::QueueFull) == ResultCode::QueueFull);
}

TEST_CASE("not run is told only after the release is in the log")
{
    ClaimUse use;
    use.asked();
    CHECK(use.tellable(ResultCode::InstanceStopping) == ResultCode::ClaimOutcomeUnknown);
    CHECK_FALSE(use.decided(wonUntil(s_lapse)));
    CHECK(use.tellable(ResultCode::ExecutorsRefused) == ResultCode::ClaimOutcomeUnknown);
    REQUIRE(use.settle(false, false) == ClaimUse::Settlement::Release);
    CHECK(use.isReleasing());
    CHECK(use.tellable(ResultCode::ExecutorsRefused) == ResultCode::ClaimOutcomeUnknown);
    use.released(false);
    CHECK(use.tellable(ResultCode::ExecutorsRefused) == ResultCode::ClaimOutcomeUnknown);
    use.released(true);
    CHECK(use.tellable(ResultCode::ExecutorsRefused) == ResultCode::ExecutorsRefused);
}

TEST_CASE("what ran or may have run keeps its key, and is settled once")
{
    for (bool isAnswered : { false, true }) {
        ClaimUse use;
        use.asked();
        REQUIRE_FALSE(use.decided(wonUntil(s_lapse)));
        CHECK(use.settle(isAnswered, !isAnswered) == ClaimUse::Settlement::Finish);
        CHECK(use.settle(isAnswered, !isAnswered) == ClaimUse::Settlement::None);
        CHECK(use.tellable(ResultCode::Done) == ResultCode::Done);
    }
}

TEST_CASE("a claim is good until its validity ends, and each refusal has its code")
{
    ClaimUse use;
    use.asked();
    REQUIRE_FALSE(use.decided(wonUntil(s_lapse)));
    CHECK(use.maySend(s_lapse - Milliseconds(1)));
    CHECK_FALSE(use.maySend(s_lapse));
    CHECK(use.hasLapsed());
    const std::vector<std::pair<ClaimState, ResultCode>> refusals {
        { ClaimState::Recorded, ResultCode::DoneEarlier },
        { ClaimState::InProgress, ResultCode::RepeatInProgress },
        { ClaimState::KeyReused, ResultCode::IdempotencyKeyReused },
        { ClaimState::NotAvailable, ResultCode::ClaimUnavailable },
        { ClaimState::OutcomeUnknown, ResultCode::ClaimOutcomeUnknown },
    };
    for (const auto& [state, code] : refusals) {
        ClaimVerdict verdict;
        verdict.state = state;
        ClaimUse refused;
        refused.asked();
        CHECK(refused.decided(verdict) == code);
        CHECK(refused.settle(false, false) == ClaimUse::Settlement::None);
    }
}

} // namespace plantainhold
