// Plays many seeds of a JobSimulation and checks that none breaks a rule. PLANTAINHOLD_SEEDS sets the number of seeds of a
// run by hand; PLANTAINHOLD_TRACED_SEED plays that one seed alone and prints what happened.
#pragma once

#include "plantainhold/testing/jobs/SimulationOptions.h"

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace plantainhold {

// Fails the present test for each violation of a seed, and if the seeds have fewer starts than `startsPerSeed` on
// average, which would show nothing. Not thread-safe, like the following function.
void checkNoViolations(SimulationOptions options, std::uint64_t usualSeeds, std::uint64_t startsPerSeed = 20);

// Returns the number of seeds with violations whose text contains `kind`.
std::size_t countViolatingSeeds(SimulationOptions options, std::string_view kind, std::uint64_t usualSeeds);

} // namespace plantainhold
