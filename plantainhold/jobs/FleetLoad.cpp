#include "plantainhold/jobs/FleetLoad.h"

#include "plantainhold/jobs/ActiveExecutor.h"
#include "plantainhold/jobs/ActiveJob.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace plantainhold {

namespace {

    constexpr double s_fullyReservedShare = 0.7;
    constexpr double s_mostlyFreeShare = 0.5;
    // Time constant of the smoothed demand of short tasks, in seconds.
    constexpr double s_demandSeconds = 6;
    // Initial estimates, until demand has been observed: fraction of the capacity, and millicores
    // of a task.
    constexpr double s_initialDemandShare = 0.05;
    constexpr double s_initialTaskSize = 2'500;
    // Fraction of the largest waiting task; free capacity of at least that size counts as useful.
    constexpr double s_taskShare = 0.7;
    // The remembered task size decays this many times more slowly than the demand.
    constexpr double s_taskMemory = 3;
    // One executor in this many may be kept for a suspect, and at least one.
    constexpr std::size_t s_executorsPerSeclusion = 8;
    // Long-running tasks leave this multiple of the demand of short tasks free.
    constexpr double s_demandMargin = 1.3;

} // namespace

void FleetLoad::update(std::span<ActiveExecutor* const> executors, std::span<ActiveStep* const> steps, TimePoint now)
{
    for (auto& [name, it] : m_services) {
        it.capacity = it.reserved = it.largest = it.shortTaskCapacity = 0;
        it.demand = 0;
        it.executors = it.secluded = 0;
    }
    for (const ActiveExecutor* it : executors) {
        // Neither its room nor what goes on there counts for those that are placed elsewhere.
        if (it->isEvacuated)
            continue;
        ServiceLoad& load = m_services[it->entry.service];
        load.capacity += it->entry.capacity.millicores;
        load.reserved += it->reserved.millicores;
        load.demand += static_cast<double>(it->reserved.millicores - it->latencyCriticalMillicores);
        load.executors += it->isListed;
    }
    for (const ActiveStep* it : steps) {
        if (it->spec->isLongRunning || it->spec->isBestEffort())
            continue;
        ServiceLoad& load = m_services[it->job().settings.service];
        load.demand += static_cast<double>(it->waitingTasks() * it->spec->resources.millicores);
        load.largest = std::max(load.largest, it->spec->resources.millicores);
    }
    for (auto& [name, it] : m_services)
        it.smoothDemand(now);
    for (const ActiveExecutor* it : executors) {
        if (it->isListed && !it->isEvacuated)
            add(*it);
    }
}

void FleetLoad::ServiceLoad::smoothDemand(TimePoint now)
{
    double seconds = std::chrono::duration<double>(now - demandAt).count();
    double share = 1 - std::exp(-seconds / s_demandSeconds);
    if (demandAt == TimePoint {}) {
        // At the beginning of a term no demand has been observed.
        shortTaskDemand = s_initialDemandShare * static_cast<double>(capacity);
        shortTaskSize = s_initialTaskSize;
        share = 0;
    }
    if (capacity)
        demandAt = now;
    shortTaskDemand += share * (demand - shortTaskDemand);
    shortTaskSize = std::max(static_cast<double>(largest) * s_taskShare, shortTaskSize * (1 - share / s_taskMemory));
}

std::int64_t FleetLoad::ServiceLoad::shortTaskCapacityOn(const ActiveExecutor& executor, const Resources& without) const
{
    std::int64_t freeCapacity = executor.freeCapacity().millicores - without.millicores;
    std::int64_t inUse = executor.reserved.millicores - executor.latencyCriticalMillicores;
    return (freeCapacity >= static_cast<std::int64_t>(shortTaskSize) ? freeCapacity : 0) + inUse;
}

const FleetLoad::ServiceLoad* FleetLoad::find(std::string_view service) const
{
    auto it = m_services.find(service);
    return it == m_services.end() ? nullptr : &it->second;
}

bool FleetLoad::isMostlyReserved(std::string_view service) const
{
    const ServiceLoad* load = find(service);
    return load && static_cast<double>(load->reserved) >= s_fullyReservedShare * static_cast<double>(load->capacity);
}

bool FleetLoad::isMostlyFree(std::string_view service) const
{
    const ServiceLoad* load = find(service);
    return load && static_cast<double>(load->reserved) < s_mostlyFreeShare * static_cast<double>(load->capacity);
}

bool FleetLoad::maySeclude(std::string_view service) const
{
    const ServiceLoad* load = find(service);
    return load && load->secluded < std::max<std::size_t>(1, load->executors / s_executorsPerSeclusion);
}

bool FleetLoad::leavesRoomForShortTasks(const ActiveExecutor& executor, const Resources& wanted) const
{
    const ServiceLoad* load = find(executor.entry.service);
    if (!load)
        return true;
    std::int64_t left = load->shortTaskCapacity - load->shortTaskCapacityOn(executor, {}) + load->shortTaskCapacityOn(executor, wanted);
    return left >= static_cast<std::int64_t>(s_demandMargin * load->shortTaskDemand);
}

void FleetLoad::remove(const ActiveExecutor& executor)
{
    ServiceLoad& load = m_services[executor.entry.service];
    load.shortTaskCapacity -= load.shortTaskCapacityOn(executor, {});
    load.secluded -= executor.secludedRuns > 0;
}

void FleetLoad::add(const ActiveExecutor& executor)
{
    ServiceLoad& load = m_services[executor.entry.service];
    load.shortTaskCapacity += load.shortTaskCapacityOn(executor, {});
    load.secluded += executor.secludedRuns > 0;
}

} // namespace plantainhold
