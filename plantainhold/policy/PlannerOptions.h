// Options of a Planner.
#pragma once

#include "plantainhold/ports/Clock.h"

#include <cstddef>
#include <cstdint>

namespace plantainhold {

struct PlannerOptions {
    // Seeds the random selection of the candidate workers.
    std::uint64_t seed = 1;
    // Number of workers that are compared for one placement.
    std::size_t candidates = 64;
    // Largest number of placements in one plan().
    std::size_t placementsPerPlan = 512;
    // How long workers must have been known before a task is reported as impossible for
    // lack of capacity or quota.
    Milliseconds settling { 10'000 };
};

} // namespace plantainhold
