// What a task requires of an executor, computed once for all executors.
#pragma once

#include "plantainhold/ports/Resources.h"

namespace plantainhold {

struct PlacementNeeds {
    Resources wanted;
    // Mean pressure on latency-critical tasks, in units of headroom.
    double pressure = 0;
    // The job has waited so long that the task is placed under relaxed conditions.
    bool isStarved = false;
};

} // namespace plantainhold
