// FleetLoad sums up how much of the executors' capacity is reserved, and keeps long-running tasks
// from taking the capacity that short tasks need: short tasks come and go within a second, so their
// demand is smoothed, and only free capacity that is large enough for one of them counts.
#pragma once

#include "plantainhold/ports/Clock.h"
#include "plantainhold/ports/Resources.h"

#include <cstdint>
#include <span>
#include <unordered_set>

namespace plantainhold {

struct ActiveExecutor;
struct ActiveStep;

class FleetLoad {
public:
    // Updates all sums and the smoothed demand. Call before each round of placement. No method of
    // this class is thread-safe.
    void update(std::span<ActiveExecutor* const> executors, const std::unordered_set<ActiveStep*>& readySteps, TimePoint now);
    // True if most of the millicores of all executors are reserved.
    bool isMostlyReserved() const { return m_isMostlyReserved; }
    // True if enough is left for short tasks when a long-running task reserves these resources.
    bool leavesRoomForShortTasks(const ActiveExecutor& executor, const Resources& wanted) const;
    // Removes the executor from the sums before a placement changes it, and adds it again afterwards.
    void remove(const ActiveExecutor& executor) { m_shortTaskCapacity -= shortTaskCapacity(executor, {}); }
    void add(const ActiveExecutor& executor) { m_shortTaskCapacity += shortTaskCapacity(executor, {}); }

private:
    // Returns the millicores that short tasks use or can use on an executor after the given
    // resources are reserved there.
    std::int64_t shortTaskCapacity(const ActiveExecutor& executor, const Resources& without) const;
    void smoothDemand(double demand, std::int64_t largest, std::int64_t capacity, TimePoint now);

    bool m_isMostlyReserved = false;
    // Millicores that short tasks use or can use, on all executors.
    std::int64_t m_shortTaskCapacity = 0;
    // Smoothed millicores that short tasks use or request, and the size of a typical one.
    double m_shortTaskDemand = 0;
    double m_shortTaskSize = 0;
    TimePoint m_demandAt {};
};

} // namespace plantainhold
