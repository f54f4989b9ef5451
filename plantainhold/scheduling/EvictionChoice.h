// Chooses the attempts to evict from one worker so that a given amount becomes
// free at the least cost. The cost is the work since the newest checkpoint, in
// milliseconds.
// All functions are pure and thread-safe.
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

// Returns the work that an eviction of the attempt would lose, in milliseconds.
std::uint64_t lostWorkMs(const TaskEntry& entry, const AttemptTracker& attempt);

// Chooses the attempts to stop so that `excess` becomes free on the worker. Urgent
// tasks are never chosen; services only if mayEvictServices is set.
EvictionChoice chooseEvictions(const ShardView& view, const std::string& worker, const Resources& excess, bool mayEvictServices);

// Returns the resources that attempts on the worker that are being stopped will free.
Resources resourcesBeingFreed(const ShardView& view, const std::string& worker);

} // namespace plantainhold
