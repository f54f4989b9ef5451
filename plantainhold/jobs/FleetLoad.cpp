#include "plantainhold/jobs/FleetLoad.h"

#include "plantainhold/jobs/ActiveExecutor.h"
#include "plantainhold/jobs/ActiveJob.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace plantainhold {

namespace {

    constexpr double s_fullyReservedShare = 0.7;
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
    // Long-running tasks leave this multiple of the demand of short tasks free.
    constexpr double s_demandMargin = 1.3;

} // namespace

void FleetLoad::update(std::span<ActiveExecutor* const> executors, const std::unordered_set<ActiveStep*>& readySteps, TimePoint now)
{
    double demand = 0;
    std::int64_t capacity = 0;
    std::int64_t reserved = 0;
    std::int64_t largest = 0;
    for (const ActiveExecutor* it : executors) {
        reserved += it->reserved.millicores;
        demand += static_cast<double>(it->reserved.millicores - it->latencyCriticalMillicores);
        capacity += it->entry.capacity.millicores;
    }
    for (const ActiveStep* it : readySteps) {
        if (it->spec->isLongRunning || it->spec->isBestEffort())
            continue;
        demand += static_cast<double>(it->waitingTasks() * it->spec->resources.millicores);
        largest = std::max(largest, it->spec->resources.millicores);
    }
    m_isMostlyReserved = static_cast<double>(reserved) >= s_fullyReservedShare * static_cast<double>(capacity);
    smoothDemand(demand, largest, capacity, now);
    m_shortTaskCapacity = 0;
    for (const ActiveExecutor* it : executors)
        m_shortTaskCapacity += it->isListed ? shortTaskCapacity(*it, {}) : 0;
}

void FleetLoad::smoothDemand(double demand, std::int64_t largest, std::int64_t capacity, TimePoint now)
{
    double seconds = std::chrono::duration<double>(now - m_demandAt).count();
    double share = 1 - std::exp(-seconds / s_demandSeconds);
    if (m_demandAt == TimePoint {}) {
        // At the beginning of a term no demand has been observed.
        m_shortTaskDemand = s_initialDemandShare * static_cast<double>(capacity);
        m_shortTaskSize = s_initialTaskSize;
        share = 0;
    }
    if (capacity)
        m_demandAt = now;
    m_shortTaskDemand += share * (demand - m_shortTaskDemand);
    m_shortTaskSize = std::max(static_cast<double>(largest) * s_taskShare, m_shortTaskSize * (1 - share / s_taskMemory));
}

bool FleetLoad::leavesRoomForShortTasks(const ActiveExecutor& executor, const Resources& wanted) const
{
    std::int64_t left = m_shortTaskCapacity - shortTaskCapacity(executor, {}) + shortTaskCapacity(executor, wanted);
    return left >= static_cast<std::int64_t>(s_demandMargin * m_shortTaskDemand);
}

std::int64_t FleetLoad::shortTaskCapacity(const ActiveExecutor& executor, const Resources& without) const
{
    std::int64_t freeCapacity = executor.freeCapacity().millicores - without.millicores;
    std::int64_t inUse = executor.reserved.millicores - executor.latencyCriticalMillicores;
    return (freeCapacity >= static_cast<std::int64_t>(m_shortTaskSize) ? freeCapacity : 0) + inUse;
}

} // namespace plantainhold
