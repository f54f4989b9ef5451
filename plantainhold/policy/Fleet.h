// Keeps the workers of one shard with their capacity, reservations and tasks.
// Services and batch tasks are accounted together. A worker whose capacity has
// shrunk below its reservations has no free capacity.
#pragma once

#include "plantainhold/policy/NameTable.h"
#include "plantainhold/policy/WorkerIndex.h"
#include "plantainhold/ports/Resources.h"

#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace plantainhold {

struct PolicyTask;

struct WorkerObservation {
    std::string worker;
    std::string rack;
    Resources capacity;
    bool isLeaving = false;
};

struct FleetWorker {
    std::string name;
    NameId rack = 0;
    Resources capacity;
    Resources reserved;
    // Capacity held for preempting tasks while their victims are still stopping.
    Resources nominated;
    bool isLeaving = false;
    bool isRemoved = false;
    bool isQuarantined = false;
    std::vector<PolicyTask*> tasks;

    bool acceptsWork() const { return !isLeaving && !isRemoved && !isQuarantined; }
    Resources freeCapacity() const { return capacity - reserved; }
};

class Fleet {
public:
    Fleet();

    // Adds the worker, or updates its capacity, rack and isLeaving. The rack of a worker
    // with tasks is not changed. No method of this class is thread-safe.
    WorkerSlot observe(const WorkerObservation& observation);
    // Marks the worker as removed: it accepts no work, and its slot is freed once nothing is
    // reserved on it. Does nothing for an unknown worker.
    void markRemoved(std::string_view worker);

    // Reserves the resources without checking the free capacity, because an assignment
    // recorded in the log stands even if the worker has shrunk since.
    // Precondition: the task is not placed.
    void reserve(PolicyTask& task, WorkerSlot slot, const Resources& resources);
    // Releases the task's reservation. Precondition: the task is placed.
    void release(PolicyTask& task);
    // Adds to the capacity held for preempting tasks; a negative amount gives it back.
    void nominate(WorkerSlot slot, const Resources& resources);
    void setQuarantined(WorkerSlot slot, bool isQuarantined);

    WorkerSlot slotOf(std::string_view worker) const;
    const FleetWorker& worker(WorkerSlot slot) const { return m_workers[slot]; }
    std::size_t slots() const { return m_workers.size(); }
    std::size_t liveWorkers() const { return m_liveWorkers; }
    const Resources& totalCapacity() const { return m_totalCapacity; }
    // Free capacity of each worker less what is nominated; a worker that accepts no
    // work fits no demand.
    const WorkerIndex& availableCapacities() const { return m_availableCapacities; }
    // The same capacity if all batch tasks were evicted.
    const WorkerIndex& preemptibleCapacities() const { return m_preemptibleCapacities; }
    // Total capacity of each live worker.
    const WorkerIndex& capacities() const { return m_capacities; }
    // Returns the number of tasks of this kind in the worker's rack.
    std::uint32_t kindCountInRack(WorkerSlot slot, NameId kind) const;
    const std::string& rackName(NameId rack) const { return m_racks.nameOf(rack); }

private:
    void reindex(WorkerSlot slot);
    void forgetIfEmpty(WorkerSlot slot);
    WorkerSlot newSlot();
    std::uint32_t& rackCount(WorkerSlot slot, NameId kind);

    std::vector<FleetWorker> m_workers;
    std::vector<WorkerSlot> m_freeSlots;
    std::unordered_map<std::string, WorkerSlot> m_slots;
    std::unordered_map<std::uint64_t, std::uint32_t> m_rackCounts;
    NameTable m_racks;
    Resources m_totalCapacity;
    std::size_t m_liveWorkers = 0;
    WorkerIndex m_availableCapacities;
    WorkerIndex m_preemptibleCapacities;
    WorkerIndex m_capacities;
};

} // namespace plantainhold
