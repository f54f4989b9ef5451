// Access to the platform's list of live and leaving instances. The list is eventually
// consistent and may lag behind the actual state.
#pragma once

#include "plantainhold/ports/Instance.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace plantainhold {

struct InstanceList {
    std::uint64_t version = 0;
    // True if nothing has changed since the version that the caller passed.
    bool isUnchanged = false;
    std::vector<Instance> instances;
};

class InstanceListPort {
public:
    virtual ~InstanceListPort() = default;

    // Returns the current list, or std::nullopt if it cannot be fetched. Blocks up to
    // the implementation's timeout. Never throws. Thread-safe.
    virtual std::optional<InstanceList> list(std::uint64_t knownVersion) = 0;
};

} // namespace plantainhold
