// Makes room for urgent tasks that fit nowhere: picks the worker on which the
// least work is lost, and keeps the room that is being freed for them.
#pragma once

#include "plantainhold/scheduling/PlacementPolicy.h"

#include <map>
#include <set>
#include <string>

namespace plantainhold {

class UrgentPreemption {
public:
    // Precondition: the view and the plan outlive the object. Not thread-safe, as all here.
    UrgentPreemption(const ShardView& view, PlacementPlan& plan);

    // Whether the task fits somewhere now.
    bool hasCapacity(const TaskEntry& entry) const;
    // Adds evictions to the plan unless what is being stopped already makes room.
    void preempt(const TaskEntry& entry);
    // Whether the worker's room is being kept for an urgent task.
    bool isReserved(const std::string& worker) const { return m_reservedWorkers.contains(worker); }

private:
    const ShardView& m_view;
    PlacementPlan& m_plan;
    std::map<std::string, Resources> m_free;
    std::set<std::string> m_reservedWorkers;
};

} // namespace plantainhold
