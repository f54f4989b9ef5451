// Reservations on a shard's workers and the capacity indexes over them.
#include "plantainhold/policy/Fleet.h"

#include "plantainhold/policy/PolicyTask.h"

#include <algorithm>

namespace plantainhold {

namespace {

    constexpr Resources s_noCapacity { -1, -1, -1 };
    constexpr std::size_t s_rackLimit = 4096;

} // namespace

Fleet::Fleet()
    : m_racks(s_rackLimit)
{
}

WorkerSlot Fleet::observe(const WorkerObservation& observation)
{
    WorkerSlot slot = slotOf(observation.worker);
    if (slot == PolicyTask::s_noWorker) {
        slot = newSlot();
        m_workers[slot].name = observation.worker;
        m_workers[slot].isRemoved = true;
        m_slots.emplace(observation.worker, slot);
    }
    FleetWorker& worker = m_workers[slot];
    if (worker.isRemoved)
        ++m_liveWorkers;
    else
        m_totalCapacity -= worker.capacity;
    worker.isRemoved = false;
    worker.isLeaving = observation.isLeaving;
    worker.capacity = observation.capacity;
    // The rack must not change while the worker's tasks are counted in m_rackCounts.
    if (worker.tasks.empty())
        worker.rack = m_racks.idOf(observation.rack);
    m_totalCapacity += worker.capacity;
    reindex(slot);
    return slot;
}

void Fleet::markRemoved(std::string_view name)
{
    WorkerSlot slot = slotOf(name);
    if (slot == PolicyTask::s_noWorker || m_workers[slot].isRemoved)
        return;
    FleetWorker& worker = m_workers[slot];
    worker.isRemoved = true;
    --m_liveWorkers;
    m_totalCapacity -= worker.capacity;
    reindex(slot);
    forgetIfEmpty(slot);
}

void Fleet::reserve(PolicyTask& task, WorkerSlot slot, const Resources& resources)
{
    FleetWorker& worker = m_workers[slot];
    task.worker = slot;
    task.reserved = resources;
    worker.reserved += resources;
    worker.tasks.push_back(&task);
    ++rackCount(slot, task.kind);
    reindex(slot);
}

void Fleet::release(PolicyTask& task)
{
    WorkerSlot slot = task.worker;
    FleetWorker& worker = m_workers[slot];
    worker.reserved -= task.reserved;
    std::erase(worker.tasks, &task);
    if (--rackCount(slot, task.kind) == 0)
        m_rackCounts.erase((std::uint64_t(worker.rack) << 32) | task.kind);
    task.worker = PolicyTask::s_noWorker;
    task.reserved = {};
    reindex(slot);
    forgetIfEmpty(slot);
}

void Fleet::nominate(WorkerSlot slot, const Resources& resources)
{
    m_workers[slot].nominated += resources;
    reindex(slot);
}

void Fleet::setQuarantined(WorkerSlot slot, bool isQuarantined)
{
    m_workers[slot].isQuarantined = isQuarantined;
    reindex(slot);
}

WorkerSlot Fleet::slotOf(std::string_view worker) const
{
    auto it = m_slots.find(std::string(worker));
    return it == m_slots.end() ? PolicyTask::s_noWorker : it->second;
}

std::uint32_t Fleet::kindCountInRack(WorkerSlot slot, NameId kind) const
{
    auto it = m_rackCounts.find((std::uint64_t(m_workers[slot].rack) << 32) | kind);
    return it == m_rackCounts.end() ? 0 : it->second;
}

std::uint32_t& Fleet::rackCount(WorkerSlot slot, NameId kind)
{
    return m_rackCounts[(std::uint64_t(m_workers[slot].rack) << 32) | kind];
}

void Fleet::reindex(WorkerSlot slot)
{
    const FleetWorker& worker = m_workers[slot];
    bool accepts = worker.acceptsWork();
    Resources open = worker.freeCapacity() - worker.nominated;
    Resources preemptible = open;
    for (const PolicyTask* it : worker.tasks) {
        if (!it->isService)
            preemptible += it->reserved;
    }
    m_availableCapacities.set(slot, accepts ? open : s_noCapacity);
    m_preemptibleCapacities.set(slot, accepts ? preemptible : s_noCapacity);
    m_capacities.set(slot, worker.isRemoved ? s_noCapacity : worker.capacity);
}

void Fleet::forgetIfEmpty(WorkerSlot slot)
{
    FleetWorker& worker = m_workers[slot];
    if (!worker.isRemoved || !worker.tasks.empty() || worker.nominated != Resources {})
        return;
    m_slots.erase(worker.name);
    worker = {};
    worker.isRemoved = true;
    m_freeSlots.push_back(slot);
}

WorkerSlot Fleet::newSlot()
{
    if (!m_freeSlots.empty()) {
        WorkerSlot slot = m_freeSlots.back();
        m_freeSlots.pop_back();
        return slot;
    }
    m_workers.emplace_back();
    return static_cast<WorkerSlot>(m_workers.size() - 1);
}

} // namespace plantainhold
