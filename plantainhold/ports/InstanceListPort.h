// The platform's lagging list of live and leaving instances.
#pragma once

#include "plantainhold/ports/Instance.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace plantainhold {

struct InstanceList {
    std::uint64_t version = 0;
    // Set when nothing has changed since the version that was asked about.
    bool isUnchanged = false;
    std::vector<Instance> instances;
};

class InstanceListPort {
public:
    virtual ~InstanceListPort() = default;

    // Nothing when the list cannot be had. Blocks up to the implementation's
    // timeout. Never throws. Thread-safe.
    virtual std::optional<InstanceList> list(std::uint64_t knownVersion) = 0;
};

} // namespace plantainhold
