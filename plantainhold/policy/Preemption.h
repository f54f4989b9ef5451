// Chooses what to evict on one worker so that an urgent task fits there.
#pragma once

#include "plantainhold/ports/Clock.h"
#include "plantainhold/ports/Resources.h"

#include <vector>

namespace plantainhold {

class EvictionCost;
struct FleetWorker;
struct PolicyTask;

struct VictimSelection {
    // Whether evicting the victims makes room.
    bool isPossible = false;
    std::vector<PolicyTask*> victims;
    double cost = 0;
};

// Greedy by cost, then drops victims that turn out not to be needed, dearest
// first. Only batch tasks that are less urgent than the task are taken; what is
// nominated to others is left alone. Pure.
VictimSelection selectVictims(const FleetWorker& worker, const PolicyTask& task, const Resources& demand, const EvictionCost& cost, TimePoint now);

// Whether the task may push the other one out.
bool outranks(const PolicyTask& task, const PolicyTask& other);

} // namespace plantainhold
