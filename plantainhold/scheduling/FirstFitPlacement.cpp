// Visits the waiting tasks in their order and places each by first fit.

#include "plantainhold/scheduling/FirstFitPlacement.h"

#include "plantainhold/scheduling/UrgentPreemption.h"

#include <algorithm>

namespace plantainhold {

namespace {

    class Round {
    public:
        Round(const ShardView& view, PlacementPlan& plan)
            : m_view(view)
            , m_plan(plan)
            , m_preemption(view, plan)
        {
            for (const auto& [id, worker] : view.workers) {
                if (worker.isSchedulable())
                    m_free[id] = worker.capacity() - view.reservedOn(id);
            }
        }

        void serve(const TaskEntry& entry)
        {
            if (place(entry))
                return;
            if (m_view.isWorkerViewComplete && isImpossible(entry))
                m_plan.impossible.push_back({ entry.description.id, "needs " + describe(entry.description.resources) + "; no worker of the shard has as much" });
            else if (entry.description.isUrgent)
                m_preemption.preempt(entry);
        }

    private:
        static std::string describe(const Resources& resources)
        {
            return std::to_string(resources.millicores) + " millicores, " + std::to_string(resources.memoryMib) + " MiB, " + std::to_string(resources.accelerators) + " accelerators";
        }

        bool place(const TaskEntry& entry)
        {
            const Resources& needed = entry.description.resources;
            auto fits = [&](const auto& it) { return needed.fitsIn(it.second) && !m_preemption.isReserved(it.first); };
            auto isElsewhere = [&](const auto& it) { return fits(it) && (entry.failures == 0 || it.first != entry.previousWorker); };
            auto it = std::find_if(m_free.begin(), m_free.end(), isElsewhere);
            if (it == m_free.end())
                it = std::find_if(m_free.begin(), m_free.end(), fits);
            if (it == m_free.end())
                return false;
            it->second -= needed;
            m_plan.placements.push_back({ entry.description.id, it->first, needed, "first worker with enough free capacity" });
            return true;
        }

        bool isImpossible(const TaskEntry& entry) const
        {
            bool hasWorkers = false;
            for (const auto& [id, worker] : m_view.workers) {
                if (!worker.isListed())
                    continue;
                hasWorkers = true;
                if (!worker.isDescribed() || entry.description.resources.fitsIn(worker.capacity()))
                    return false;
            }
            return hasWorkers;
        }

        const ShardView& m_view;
        PlacementPlan& m_plan;
        std::map<std::string, Resources> m_free;
        UrgentPreemption m_preemption;
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
