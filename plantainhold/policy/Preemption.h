// Selects the tasks to evict on one worker so that a more urgent task fits there.
#pragma once

#include "plantainhold/ports/Clock.h"
#include "plantainhold/ports/Resources.h"

#include <vector>

namespace plantainhold {

class EvictionCost;
struct FleetWorker;
struct PolicyTask;

struct VictimSelection {
    // Whether evicting the victims frees enough capacity.
    bool isPossible = false;
    std::vector<PolicyTask*> victims;
    double cost = 0;
};

// Selects victims greedily by ascending cost, then drops those that are not needed,
// the most expensive first. Only running batch tasks that the task outranks are
// selected, and capacity nominated to other tasks is not used. A pure function.
VictimSelection selectVictims(const FleetWorker& worker, const PolicyTask& task, const Resources& demand, const EvictionCost& cost, TimePoint now);

// Returns whether the task may preempt the other one.
bool outranks(const PolicyTask& task, const PolicyTask& other);

} // namespace plantainhold
