#include "plantainhold/testing/jobs/SimulationChecks.h"

#include "plantainhold/testing/jobs/JobSimulation.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdio>
#include <cstdlib>
#include <string>

namespace plantainhold {

namespace {

    std::uint64_t numberFrom(const char* variable, std::uint64_t usual)
    {
        const char* text = std::getenv(variable);
        return text ? std::strtoull(text, nullptr, 10) : usual;
    }

} // namespace

void checkNoViolations(SimulationOptions options, std::uint64_t usualSeeds, std::uint64_t startsPerSeed)
{
    const std::uint64_t traced = numberFrom("PLANTAINHOLD_TRACED_SEED", 0);
    const std::uint64_t first = traced ? traced : 1;
    const std::uint64_t last = traced ? traced : numberFrom("PLANTAINHOLD_SEEDS", usualSeeds);
    options.isTraced = traced > 0;
    std::uint64_t starts = 0;
    for (options.seed = first; options.seed <= last; ++options.seed) {
        JobSimulation world(options);
        world.run();
        if (options.isTraced)
            std::fputs(world.trace().c_str(), stdout);
        for (const std::string& it : world.violations())
            FAIL_CHECK("seed " << options.seed << ": " << it);
        starts += world.starts();
    }
    CHECK(starts > (last - first + 1) * startsPerSeed);
}

std::size_t countViolatingSeeds(SimulationOptions options, std::string_view kind, std::uint64_t usualSeeds)
{
    const std::uint64_t seeds = numberFrom("PLANTAINHOLD_SEEDS", usualSeeds);
    std::size_t n = 0;
    for (options.seed = 1; options.seed <= seeds; ++options.seed) {
        JobSimulation world(options);
        world.run();
        n += std::any_of(world.violations().begin(), world.violations().end(), [&](const std::string& it) { return it.find(kind) != std::string::npos; });
    }
    return n;
}

} // namespace plantainhold
