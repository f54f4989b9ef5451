// What the planner's owner may set.
#pragma once

#include "plantainhold/ports/Clock.h"

#include <cstddef>
#include <cstdint>

namespace plantainhold {

struct PlannerOptions {
    // Seeds the choice among workers of equal worth.
    std::uint64_t seed = 1;
    // Workers compared for one placement.
    std::size_t candidates = 64;
    // Placements decided in one plan().
    std::size_t placementsPerPlan = 512;
    // A job is called impossible only when the fleet has been known this long.
    Milliseconds settling { 10'000 };
};

} // namespace plantainhold
