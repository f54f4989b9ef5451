// Tests that the profile of a service determines how its requests are treated.

#include "plantainhold/routing/RequestAdmission.h"
#include "plantainhold/config/ConfigSnapshot.h"

#include <catch2/catch.hpp>

namespace plantainhold {

namespace {

    ConfigSnapshot snapshot()
    {
        ConfigSnapshot config;
        config.version = 1;
        Profile quotes { .name = "quotes", .priority = Priority::Urgent, .latencyObjective = Milliseconds(200), .deadline = Milliseconds(2000), .isIdempotent = true, .hedgeAfter = Milliseconds(50) };
        Profile stock { .name = "stock", .deadline = Milliseconds(4000), .retryPercent = 0, .hedgeAfter = Milliseconds(50) };
        config.document.profiles = { quotes, stock };
        config.document.teams = { { .name = "lot", .slotQuota = 7 }, { .name = "parish" } };
        config.document.services = { { "quote", "quotes", "/quote", {} }, { "reconcile", "stock", "/reconcile", { "lot" } } };
        return config;
    }

    AdmissionQuery query(std::string_view target, std::string_view team, std::string_view key = "")
    {
        return { target, team, key, std::nullopt, TimePoint {} };
    }

} // namespace

TEST_CASE("a request gets the parameters of its service's profile")
{
    RequestAdmission admission;
    REQUIRE(admitRequest(snapshot(), query("/quote/7", "lot"), admission) == std::nullopt);
    REQUIRE(admission.demand.service == "quote");
    REQUIRE(admission.demand.priority == Priority::Urgent);
    REQUIRE(admission.demand.deadline == TimePoint {} + Milliseconds(2000));
    REQUIRE(admission.demand.teamQuota == 7);
    REQUIRE(admission.hedgeAfter == Milliseconds(50));
    REQUIRE(admission.isIdempotent);
}

TEST_CASE("a caller can shorten its deadline but not extend it")
{
    RequestAdmission admission;
    AdmissionQuery shorter = query("/quote", "lot");
    shorter.timeLimit = Milliseconds(100);
    admitRequest(snapshot(), shorter, admission);
    REQUIRE(admission.demand.deadline == TimePoint {} + Milliseconds(100));
    shorter.timeLimit = Milliseconds(100'000);
    admitRequest(snapshot(), shorter, admission);
    REQUIRE(admission.demand.deadline == TimePoint {} + Milliseconds(2000));
}

TEST_CASE("each reason for a refusal has its own result code")
{
    RequestAdmission admission;
    REQUIRE(admitRequest(ConfigSnapshot(), query("/quote", "lot"), admission) == ResultCode::ConfigurationMissing);
    REQUIRE(admitRequest(snapshot(), query("/quotesold", "lot"), admission) == ResultCode::ServiceUnknown);
    REQUIRE(admitRequest(snapshot(), query("/quote", "nobody"), admission) == ResultCode::TeamNotAdmitted);
    REQUIRE(admitRequest(snapshot(), query("/reconcile", "parish", "k"), admission) == ResultCode::TeamNotAdmitted);
    REQUIRE(admitRequest(snapshot(), query("/reconcile", "lot"), admission) == ResultCode::IdempotencyKeyMissing);
    REQUIRE(admitRequest(snapshot(), query("/reconcile", "lot", "k"), admission) == std::nullopt);
}

TEST_CASE("the unresponsive timeout is between half the objective and half the deadline, and off without retries")
{
    RequestAdmission admission;
    admitRequest(snapshot(), query("/quote", "lot"), admission);
    REQUIRE(unresponsiveTimeout(admission, std::nullopt) == Milliseconds(200));
    REQUIRE(unresponsiveTimeout(admission, Milliseconds(3)) == Milliseconds(100));
    REQUIRE(unresponsiveTimeout(admission, Milliseconds(5000)) == Milliseconds(1000));
    admitRequest(snapshot(), query("/reconcile", "lot", "k"), admission);
    REQUIRE(unresponsiveTimeout(admission, std::nullopt) == Duration::zero());
    REQUIRE(admission.hedgeAfter == Milliseconds(0));
}

} // namespace plantainhold
