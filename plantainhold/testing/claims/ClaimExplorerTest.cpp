// Checks the claim protocol exhaustively in a small scope. The negative controls
// show that the explorer finds a violation if any rule of the protocol is disabled.

#include "plantainhold/testing/claims/ClaimExplorer.h"

#include <catch2/catch.hpp>

namespace plantainhold {

namespace {

    void requireProved(const ExplorerScope& scope)
    {
        ExplorerResult result = explore(scope);
        INFO("states " << result.states << ", honest repeats " << result.runsAfterNotRun);
        INFO(result.violation.value_or("no violation"));
        CHECK_FALSE(result.violation.has_value());
        CHECK(result.isComplete);
        CHECK(result.runsAfterNotRun > 0);
    }

    void requireCaught(const ExplorerScope& scope, const std::string& expected)
    {
        ExplorerResult result = explore(scope);
        REQUIRE(result.violation.has_value());
        INFO(*result.violation);
        CHECK(result.violation->find(expected) != std::string::npos);
    }

} // namespace

TEST_CASE("no interleaving of two attempts with a lost reply and a crash violates a rule")
{
    requireProved({ .attempts = 2, .crashes = 1, .ticks = 1, .lostReplies = 1, .hasForgetting = false });
}

TEST_CASE("no interleaving of two attempts until the caller's deadline violates a rule")
{
    requireProved({ .attempts = 2, .crashes = 0, .ticks = 2, .lostReplies = 0, .hasForgetting = false });
}

TEST_CASE("no interleaving of three attempts violates a rule")
{
    requireProved({ .attempts = 3, .crashes = 0, .ticks = 1, .lostReplies = 0, .hasForgetting = false });
}

TEST_CASE("no interleaving of two attempts, pauses beyond the retention and forgetting violates a rule")
{
    requireProved({ .attempts = 2, .crashes = 0, .ticks = 3, .lostReplies = 0, .hasForgetting = true, .hasRefusals = false });
}

TEST_CASE("control: dispatching without reading the claim back runs twice")
{
    requireCaught({ .attempts = 2, .crashes = 0, .lostReplies = 0, .rules = { .readsBack = false } }, "ran twice");
}

TEST_CASE("control: dispatching a claim that is no longer valid runs twice")
{
    requireCaught({ .attempts = 2, .crashes = 0, .ticks = 3, .lostReplies = 0, .hasRefusals = false, .rules = { .checksValidity = false } }, "ran twice");
}

TEST_CASE("control: reporting not run without a tombstone leaves a claim behind")
{
    requireCaught({ .attempts = 2, .rules = { .writesTombstone = false } }, "can still hold the key");
}

TEST_CASE("control: a reducer without tombstones lets a late claim hold the key")
{
    requireCaught({ .attempts = 2, .ignoresTombstones = true }, "can still hold the key");
}

} // namespace plantainhold
