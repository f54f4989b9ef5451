// The part of JobScheduler that empties data centres which the operator has evacuated: nothing is placed there,
// and what is not sent yet is taken back. Runs there go on.

#include "plantainhold/jobs/JobScheduler.h"

#include <set>
#include <span>
#include <string>
#include <unordered_set>
#include <utility>
#include <vector>

namespace plantainhold {

namespace {

    bool isUnsent(const ActiveTask& task)
    {
        const ActiveRun* run = task.run.get();
        return run && (run->phase == RunPhase::Recording || (run->phase == RunPhase::Starting && !run->wasSentHere()));
    }

    // Returns the tasks whose starts are taken back with this one: a member of a gang that is started without the
    // others ends alone.
    std::vector<ActiveTask*> tasksBoundTo(ActiveTask& task)
    {
        std::vector<ActiveTask*> tasks { &task };
        if (!task.step->spec->isGang)
            return tasks;
        tasks.clear();
        for (ActiveTask& it : task.step->tasks.open())
            tasks.push_back(&it);
        return tasks;
    }

    // What an evacuation meets, for the log.
    struct Extent {
        std::size_t executors = 0;
        std::size_t runs = 0;
        // Services all of whose executors are evacuated, separated by commas: their tasks wait.
        std::string emptiedServices;
    };

    Extent extentOf(std::string_view dataCentre, std::span<ActiveExecutor* const> executors)
    {
        Extent extent;
        std::set<std::string_view> services;
        for (const ActiveExecutor* it : executors) {
            if (!it->isListed || it->entry.dataCentre != dataCentre)
                continue;
            ++extent.executors;
            extent.runs += it->runs.size();
            services.insert(it->entry.service);
        }
        for (const ActiveExecutor* it : executors) {
            if (it->isListed && !it->isEvacuated)
                services.erase(it->entry.service);
        }
        for (std::string_view it : services) {
            extent.emptiedServices += extent.emptiedServices.empty() ? "" : ",";
            extent.emptiedServices += it;
        }
        return extent;
    }

    // Returns the tasks whose starts on executors that are evacuated have not been sent, and those bound to them, each once.
    std::vector<ActiveTask*> unsentOn(std::span<ActiveExecutor* const> executors)
    {
        std::vector<ActiveTask*> unsent;
        std::unordered_set<const ActiveTask*> known;
        for (const ActiveExecutor* executor : executors) {
            if (!executor->isEvacuated)
                continue;
            for (const ActiveRun* run : executor->runs) {
                if (!isUnsent(*run->task))
                    continue;
                for (ActiveTask* it : tasksBoundTo(*run->task)) {
                    if (isUnsent(*it) && known.insert(it).second)
                        unsent.push_back(it);
                }
            }
        }
        return unsent;
    }

    // Logs what has changed between the two tables.
    void noteEvacuations(const EvacuationTable& former, const EvacuationTable& table, std::span<ActiveExecutor* const> executors, std::size_t takenBack, EventSink& events)
    {
        for (const std::string& it : table.evacuated()) {
            if (former.isEvacuated(it))
                continue;
            Extent extent = extentOf(it, executors);
            events.note(EventId::EvacuationInForce, { { "data_centre", it }, { "offset", table.offsetOf(it) }, { "executors", extent.executors }, { "runs", extent.runs }, { "taken_back_starts", takenBack }, { "emptied_services", extent.emptiedServices } });
            if (!extent.executors)
                events.note(EventId::EvacuationRejected, { { "data_centre", it }, { "offset", table.offsetOf(it) }, { "fault", "no executor of this data centre is listed; it stays evacuated" } });
        }
        for (const std::string& it : former.evacuated()) {
            if (!table.isEvacuated(it))
                events.note(EventId::EvacuationEnded, { { "data_centre", it }, { "offset", table.offsetOf(it) } });
        }
    }

} // namespace

void JobScheduler::evacuate(const EvacuationTable& table, TimePoint now)
{
    const EvacuationTable former = std::exchange(m_evacuations, table);
    for (ActiveExecutor* executor : m_executorList) {
        executor->isEvacuated = m_evacuations.isEvacuated(executor->entry.dataCentre);
        noteChange(*executor);
    }
    m_needsPlacement = true;
    std::vector<ActiveTask*> nominated(m_nominatedTasks.begin(), m_nominatedTasks.end());
    for (ActiveTask* it : nominated) {
        if (it->nominated->isEvacuated)
            clearNomination(*it);
    }
    // Neither a record that is being written nor a command that is queued starts a run that is over.
    std::vector<ActiveTask*> unsent = unsentOn(m_executorList);
    for (ActiveTask* it : unsent) {
        std::erase_if(m_starts, [&](const CommitBatch::Start& start) { return start.task == it->name(); });
        endRun(*it, now);
    }
    noteEvacuations(former, m_evacuations, m_executorList, unsent.size(), m_events);
}

} // namespace plantainhold
