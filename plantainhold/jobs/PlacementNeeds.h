// What a task requires of an executor, computed once for all executors.
#pragma once

#include "plantainhold/jobs/BestEffortPacer.h"
#include "plantainhold/ports/Resources.h"

#include <cstdint>
#include <optional>

namespace plantainhold {

struct PlacementNeeds {
    Resources wanted;
    // Mean pressure on latency-critical tasks, in units of headroom.
    double pressure = 0;
    // What the task puts on latency-critical ones; std::nullopt if it does not slow them down.
    std::optional<BestEffortPacer::Load> load;
    // The job has waited so long that the task is placed under relaxed conditions.
    bool isStarved = false;
    // Best-effort runs beside which a starved task may be placed.
    std::uint32_t maxNeighbours = 0;
};

} // namespace plantainhold
