// The workers of one shard: capacity, what is reserved, and who runs there. One
// ledger for services and batch alike; a worker that shrank below what it holds
// simply has no room.
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
    // Room kept for urgent tasks while those they preempt are still stopping.
    Resources nominated;
    bool isLeaving = false;
    bool isGone = false;
    bool isQuarantined = false;
    std::vector<PolicyTask*> tasks;

    bool acceptsWork() const { return !isLeaving && !isGone && !isQuarantined; }
    Resources freeCapacity() const { return capacity - reserved; }
};

class Fleet {
public:
    Fleet();

    // Adds the worker or takes over its new capacity, rack and leaving mark. Not thread-safe, as the class.
    WorkerSlot observe(const WorkerObservation& observation);
    // The worker has vanished: it takes no work, and is forgotten once nothing is reserved on it.
    void markGone(std::string_view worker);

    // Precondition: the task is not placed. Reserves without a check: what the
    // log assigned before is a fact, even on a worker that has shrunk since.
    void reserve(PolicyTask& task, WorkerSlot slot, const Resources& resources);
    // Precondition: the task is placed.
    void release(PolicyTask& task);
    // Adds to (or, negated, takes from) the room kept for preempting tasks.
    void nominate(WorkerSlot slot, const Resources& resources);
    void setQuarantined(WorkerSlot slot, bool isQuarantined);

    WorkerSlot slotOf(std::string_view worker) const;
    const FleetWorker& worker(WorkerSlot slot) const { return m_workers[slot]; }
    std::size_t slots() const { return m_workers.size(); }
    std::size_t liveWorkers() const { return m_liveWorkers; }
    const Resources& totalCapacity() const { return m_totalCapacity; }
    // Room that any task may take: without what is nominated, and none where no work is accepted.
    const WorkerIndex& availableCapacities() const { return m_availableCapacities; }
    // Room if all batch tasks were evicted.
    const WorkerIndex& preemptibleCapacities() const { return m_preemptibleCapacities; }
    // Whole capacity of each live worker.
    const WorkerIndex& capacities() const { return m_capacities; }
    // How many of the kind's tasks run in the worker's rack.
    std::uint32_t kindInRack(WorkerSlot slot, NameId kind) const;
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
