// What a task asks of an executor, worked out once for all of them.
#pragma once

#include "plantainhold/ports/Resources.h"

namespace plantainhold {

struct PlacementNeeds {
    Resources wanted;
    // How it presses on serving tasks on average, in headroom.
    double pressure = 0;
    // Its job has waited so long that it is placed under easier terms.
    bool isStarved = false;
};

} // namespace plantainhold
