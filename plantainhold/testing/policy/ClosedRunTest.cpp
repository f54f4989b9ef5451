// Tests the closed-loop simulation: it is reproducible from its seed, and the planner keeps
// services within their objectives in it while using more cores than first fit.

#include "bench/ClosedRun.h"
#include "bench/ClosedScenario.h"

#include <catch2/catch.hpp>

namespace plantainhold::bench {

TEST_CASE("the same seed gives the same scenario")
{
    ClosedScenario first = makeScenario("parish", 3);
    ClosedScenario second = makeScenario("parish", 3);
    REQUIRE(first.tasks.size() == second.tasks.size());
    CHECK(first.effects == second.effects);
    CHECK(first.tasks.back().workSeconds == second.tasks.back().workSeconds);
    CHECK(makeScenario("parish", 4).effects != first.effects);
}

TEST_CASE("a reproducible run keeps services within their objectives beside batch tasks")
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
