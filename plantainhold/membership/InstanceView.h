// What this instance believes about all instances, immutable.
#pragma once

#include "plantainhold/membership/EntryInstance.h"
#include "plantainhold/ports/Instance.h"

#include <cstdint>
#include <vector>

namespace plantainhold {

struct InstanceView {
    // Version of the platform's list; 0 before the first answer.
    std::uint64_t version = 0;
    std::vector<Instance> instances;
    // What entry instances say of themselves, heard directly or through others; the
    // first is this one. Fresher than the list, and may name what it does not.
    std::vector<EntryInstance> entries;
};

} // namespace plantainhold
