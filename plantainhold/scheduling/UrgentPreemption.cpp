// Reserves one worker per task, so that two urgent tasks do not rely on the same capacity.

#include "plantainhold/scheduling/UrgentPreemption.h"

#include "plantainhold/scheduling/EvictionChoice.h"

#include <algorithm>

namespace plantainhold {

Resources ShardView::reservedOn(const std::string& worker) const
{
    Resources sum = reducer.ledger().account(worker).reserved;
    for (const auto& [task, placement] : tentative) {
        if (placement.worker == worker)
            sum += placement.reserved;
    }
    return sum;
}

UrgentPreemption::UrgentPreemption(const ShardView& view, PlacementPlan& plan)
    : m_view(view)
    , m_plan(plan)
{
    for (const auto& [id, worker] : view.workers) {
        if (worker.isSchedulable())
            m_free[id] = worker.capacity() - view.reservedOn(id);
    }
}

bool UrgentPreemption::hasCapacity(const TaskEntry& entry) const
{
    return std::any_of(m_free.begin(), m_free.end(), [&](const auto& it) { return entry.description.resources.fitsIn(it.second); });
}

void UrgentPreemption::preempt(const TaskEntry& entry)
{
    const Resources& needed = entry.description.resources;
    EvictionChoice best;
    std::string chosen;
    for (const auto& [id, free] : m_free) {
        if (m_reservedWorkers.contains(id))
            continue;
        Resources soon = free + resourcesBeingFreed(m_view, id);
        if (needed.fitsIn(soon)) {
            m_reservedWorkers.insert(id);
            return;
        }
        EvictionChoice choice = chooseEvictions(m_view, id, needed - soon, false);
        if (choice.isPossible && (chosen.empty() || choice.lostMs < best.lostMs)) {
            best = std::move(choice);
            chosen = id;
        }
    }
    if (chosen.empty())
        return;
    m_reservedWorkers.insert(chosen);
    for (const AttemptId& it : best.victims)
        m_plan.evictions.push_back({ it, "makes room for urgent task " + entry.description.id });
}

} // namespace plantainhold
