// What must hold whatever fails, in random worlds, and that the checks notice when
// a guard is taken out.

#include "plantainhold/testing/jobs/JobSimulation.h"

#include <catch2/catch.hpp>

namespace plantainhold {

namespace {

    constexpr std::uint64_t s_seeds = 80;

    // The seeds in which something broke.
    std::size_t violatingSeeds(SimulationOptions options)
    {
        std::size_t n = 0;
        for (std::uint64_t seed = 1; seed <= s_seeds; ++seed) {
            options.seed = seed;
            JobSimulation world(options);
            world.run();
            n += !world.violations().empty();
        }
        return n;
    }

} // namespace

TEST_CASE("no task runs twice, too early or too late, whatever fails")
{
    std::uint64_t starts = 0;
    for (std::uint64_t seed = 1; seed <= s_seeds; ++seed) {
        SimulationOptions options;
        options.seed = seed;
        JobSimulation world(options);
        world.run();
        for (const std::string& it : world.violations())
            FAIL_CHECK("seed " << seed << ": " << it);
        starts += world.starts();
    }
    // The worlds must not pass because nothing happens in them.
    CHECK(starts > s_seeds * 20);
}

TEST_CASE("control: orders sent before they are stored are noticed")
{
    SimulationOptions options;
    options.sendsBeforeStored = true;
    CHECK(violatingSeeds(options) > 0);
}

TEST_CASE("control: ends acknowledged before they are stored are noticed")
{
    SimulationOptions options;
    options.acknowledgesBeforeStored = true;
    CHECK(violatingSeeds(options) > 0);
}

TEST_CASE("control: a lease that is taken for over too early is noticed")
{
    SimulationOptions options;
    options.limits.clockDrift = -0.5;
    CHECK(violatingSeeds(options) > 0);
}

TEST_CASE("control: owners whose tokens do not rise are noticed")
{
    SimulationOptions options;
    options.ignoresFencing = true;
    options.lostAnswers = 0.3;
    CHECK(violatingSeeds(options) > 0);
}

} // namespace plantainhold
