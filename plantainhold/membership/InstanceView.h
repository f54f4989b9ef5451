// An immutable snapshot of this instance's view of all instances.
#pragma once

#include "plantainhold/membership/EntryInstance.h"
#include "plantainhold/ports/Instance.h"

#include <cstdint>
#include <vector>

namespace plantainhold {

struct InstanceView {
    // Version of the platform's list; 0 before it was first fetched.
    std::uint64_t version = 0;
    std::vector<Instance> instances;
    // The entry instances' own state, received directly or through peers; the first
    // element is this instance. More recent than the platform's list, and may contain
    // instances that the list does not.
    std::vector<EntryInstance> entries;
};

} // namespace plantainhold
