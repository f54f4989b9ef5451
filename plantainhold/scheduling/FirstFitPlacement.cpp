// First fit in the order of waiting.

#include "plantainhold/scheduling/FirstFitPlacement.h"

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

namespace {

    class Round {
    public:
        Round(const ShardView& view, PlacementPlan& plan)
            : m_view(view)
            , m_plan(plan)
        {
            for (const auto& [id, worker] : view.workers) {
                if (worker.isOpen())
                    m_free[id] = worker.capacity() - view.reservedOn(id);
            }
        }

        void serve(const TaskEntry& entry)
        {
            if (place(entry))
                return;
            if (m_view.isSettled && isImpossible(entry))
                m_plan.impossible.push_back({ entry.description.id, "needs " + describe(entry.description.resources) + "; no worker of the shard has as much" });
            else if (entry.description.isUrgent)
                clearRoom(entry);
        }

    private:
        static std::string describe(const Resources& resources)
        {
            return std::to_string(resources.millicores) + " millicores, " + std::to_string(resources.memoryMib) + " MiB, " + std::to_string(resources.accelerators) + " accelerators";
        }

        bool place(const TaskEntry& entry)
        {
            const Resources& needed = entry.description.resources;
            auto fits = [&](const auto& it) { return needed.fitsIn(it.second) && !m_clearing.contains(it.first); };
            auto isElsewhere = [&](const auto& it) { return fits(it) && (entry.failures == 0 || it.first != entry.lastWorker); };
            auto it = std::find_if(m_free.begin(), m_free.end(), isElsewhere);
            if (it == m_free.end())
                it = std::find_if(m_free.begin(), m_free.end(), fits);
            if (it == m_free.end())
                return false;
            it->second -= needed;
            m_plan.placements.push_back({ entry.description.id, it->first, needed, "first worker with room" });
            return true;
        }

        bool isImpossible(const TaskEntry& entry) const
        {
            bool hasWorkers = false;
            for (const auto& [id, worker] : m_view.workers) {
                if (!worker.isListed())
                    continue;
                hasWorkers = true;
                if (!worker.isKnown() || entry.description.resources.fitsIn(worker.capacity()))
                    return false;
            }
            return hasWorkers;
        }

        void clearRoom(const TaskEntry& entry)
        {
            const Resources& needed = entry.description.resources;
            EvictionChoice best;
            std::string chosen;
            for (const auto& [id, free] : m_free) {
                if (m_clearing.contains(id))
                    continue;
                Resources soon = free + beingFreed(m_view, id);
                if (needed.fitsIn(soon)) {
                    m_clearing.insert(id);
                    return;
                }
                EvictionChoice choice = chooseEvictions(m_view, id, needed - soon, false);
                if (choice.isPossible && (chosen.empty() || choice.lostMs < best.lostMs)) {
                    best = choice;
                    chosen = id;
                }
            }
            if (chosen.empty())
                return;
            m_clearing.insert(chosen);
            for (const AttemptId& it : best.victims)
                m_plan.evictions.push_back({ it, "makes room for urgent task " + entry.description.id });
        }

        const ShardView& m_view;
        PlacementPlan& m_plan;
        std::map<std::string, Resources> m_free;
        // Workers on which room is being made for an urgent task that waits.
        std::set<std::string> m_clearing;
    };

} // namespace

PlacementPlan FirstFitPlacement::plan(const ShardView& view, TimePoint)
{
    PlacementPlan plan;
    Round round(view, plan);
    for (const WaitingKey& key : view.reducer.waiting()) {
        if (!view.tentative.contains(key.task))
            round.serve(*view.reducer.find(key.task));
    }
    return plan;
}

} // namespace plantainhold
