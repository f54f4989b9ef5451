// Chooses what to evict from one worker so that an amount becomes free at the
// least cost: work since the newest checkpoint, in milliseconds.
#pragma once

#include "plantainhold/ports/WorkerPort.h"
#include "plantainhold/scheduling/PlacementPolicy.h"

#include <cstdint>
#include <string>
#include <vector>

namespace plantainhold {

struct EvictionChoice {
    bool isPossible = false;
    std::uint64_t lostMs = 0;
    std::vector<AttemptId> victims;
};

// How much work an eviction of the attempt would lose. Pure and thread-safe, as all here.
std::uint64_t lostWorkMs(const TaskEntry& entry, const AttemptTracker& attempt);

// What must go so that `excess` becomes free on the worker. Urgent tasks stay;
// services stay unless mayEvictServices is set.
EvictionChoice chooseEvictions(const ShardView& view, const std::string& worker, const Resources& excess, bool mayEvictServices);

// What attempts on the worker that are being stopped will free.
Resources resourcesBeingFreed(const ShardView& view, const std::string& worker);

} // namespace plantainhold
