// Selection of the victims of a preemption.
#include "plantainhold/policy/Preemption.h"

#include "plantainhold/policy/EvictionCost.h"
#include "plantainhold/policy/Fleet.h"
#include "plantainhold/policy/PolicyTask.h"

#include <algorithm>

namespace plantainhold {

namespace {

    struct Candidate {
        PolicyTask* task;
        double cost;
    };

} // namespace

bool outranks(const PolicyTask& task, const PolicyTask& other)
{
    if (other.isService || other.isUrgent)
        return false;
    return task.isUrgent || (task.isService && task.priority < other.priority);
}

VictimSelection selectVictims(const FleetWorker& worker, const PolicyTask& task, const Resources& demand, const EvictionCost& cost, TimePoint now)
{
    VictimSelection choice;
    std::vector<Candidate> candidates;
    // Tasks that are already stopping will free their reservations (added below), but the
    // nominated capacity belongs to the tasks that they were stopped for.
    Resources available = worker.freeCapacity() - worker.nominated;
    for (PolicyTask* it : worker.tasks) {
        if (it->isEvicting)
            available += it->reserved;
        else if (outranks(task, *it) && it->attempt)
            candidates.push_back({ it, cost.of(*it, now) });
    }
    std::sort(candidates.begin(), candidates.end(), [](const Candidate& a, const Candidate& b) { return a.cost < b.cost; });
    std::vector<Candidate> taken;
    for (const Candidate& it : candidates) {
        if (demand.fitsIn(available))
            break;
        available += it.task->reserved;
        taken.push_back(it);
    }
    if (!demand.fitsIn(available))
        return choice;
    choice.isPossible = true;
    for (auto it = taken.rbegin(); it != taken.rend(); ++it) {
        if (demand.fitsIn(available - it->task->reserved)) {
            available -= it->task->reserved;
            continue;
        }
        choice.victims.push_back(it->task);
        choice.cost += it->cost;
    }
    return choice;
}

} // namespace plantainhold
