// UrgentPreemption frees capacity for urgent tasks that fit on no worker: it
// chooses the worker on which the least work is lost, and reserves the capacity
// that is being freed there for the urgent task.
// Not thread-safe.
#pragma once

#include "plantainhold/scheduling/PlacementPolicy.h"

#include <map>
#include <set>
#include <string>

namespace plantainhold {

class UrgentPreemption {
public:
    // Precondition: the view and the plan outlive the object.
    UrgentPreemption(const ShardView& view, PlacementPlan& plan);

    // Whether the task fits on any worker now.
    bool hasCapacity(const TaskEntry& entry) const;
    // Reserves a worker for the task. Adds evictions to the plan unless the attempts
    // that are being stopped already free enough capacity.
    void preempt(const TaskEntry& entry);
    // Whether the worker is reserved for an urgent task.
    bool isReserved(const std::string& worker) const { return m_reservedWorkers.contains(worker); }

private:
    const ShardView& m_view;
    PlacementPlan& m_plan;
    std::map<std::string, Resources> m_free;
    std::set<std::string> m_reservedWorkers;
};

} // namespace plantainhold
