// The closed loop replays from its seed, and the product protects services in it.

#include "bench/ClosedRun.h"
#include "bench/ClosedScenario.h"

#include <catch2/catch.hpp>

namespace plantainhold::bench {

TEST_CASE("a scenario is the same for the same seed")
{
    ClosedScenario first = makeScenario("parish", 3);
    ClosedScenario second = makeScenario("parish", 3);
    REQUIRE(first.tasks.size() == second.tasks.size());
    CHECK(first.effects == second.effects);
    CHECK(first.tasks.back().workSeconds == second.tasks.back().workSeconds);
    CHECK(makeScenario("parish", 4).effects != first.effects);
}

TEST_CASE("services stay within their objectives beside batch, in a replayable run")
{
    constexpr std::uint32_t s_seed = 1;
    INFO("seed " << s_seed);
    ClosedMeasures product = runClosed("plantainhold", "parish", s_seed);
    ClosedMeasures firstFit = runClosed("firstfit", "parish", s_seed);
    CHECK(product.outOfObjective <= firstFit.outOfObjective / 10);
    CHECK(product.coreHoursPerHour > firstFit.coreHoursPerHour);
    CHECK(runClosed("plantainhold", "parish", s_seed).coreHoursPerHour == product.coreHoursPerHour);
}

} // namespace plantainhold::bench
