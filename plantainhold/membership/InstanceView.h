// What this instance believes about all instances, immutable.
#pragma once

#include "plantainhold/ports/Instance.h"

#include <cstdint>
#include <vector>

namespace plantainhold {

struct InstanceView {
    // Version of the platform's list; 0 before the first answer.
    std::uint64_t version = 0;
    std::vector<Instance> instances;
};

} // namespace plantainhold
