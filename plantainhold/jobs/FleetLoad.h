// FleetLoad sums up, for each service, how much of its executors' capacity is reserved, and keeps
// long-running tasks from taking the capacity that short tasks need: short tasks come and go within a
// second, so their demand is smoothed, and only free capacity that is large enough for one of them counts.
#pragma once

#include "plantainhold/ports/Clock.h"
#include "plantainhold/ports/Resources.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <span>
#include <string>
#include <string_view>

namespace plantainhold {

struct ActiveExecutor;
struct ActiveStep;

class FleetLoad {
public:
    // Updates all sums, of executors that are not evacuated, and the smoothed demand. `steps` are the ready steps that
    // some executor could run: the demand of others would keep capacity free that they cannot use. Call before each
    // round of placement.
    // No method of this class is thread-safe.
    void update(std::span<ActiveExecutor* const> executors, std::span<ActiveStep* const> steps, TimePoint now);
    // True if most of the millicores of the service's executors are reserved.
    bool isMostlyReserved(std::string_view service) const;
    // True if less than half of them are.
    bool isMostlyFree(std::string_view service) const;
    // True if enough is left for short tasks of the executor's service when a long-running task reserves
    // these resources.
    bool leavesRoomForShortTasks(const ActiveExecutor& executor, const Resources& wanted) const;
    // True if one more executor of the service may be kept for a suspect alone. What suspicion takes from the
    // others must stay a small part, however many suspects there are.
    bool maySeclude(std::string_view service) const;
    // Removes the executor from the sums before a placement changes it, and adds it again afterwards.
    void remove(const ActiveExecutor& executor);
    void add(const ActiveExecutor& executor);

private:
    struct ServiceLoad {
        // Millicores of all executors, reserved ones, and those that short tasks use or request now.
        std::int64_t capacity = 0;
        std::int64_t reserved = 0;
        double demand = 0;
        // Numbers of listed executors, and of those that suspects have to themselves.
        std::size_t executors = 0;
        std::size_t secluded = 0;
        // Millicores of the largest short task that waits.
        std::int64_t largest = 0;
        // Millicores that short tasks use or can use.
        std::int64_t shortTaskCapacity = 0;
        // Smoothed millicores that short tasks use or request, and the size of a typical one.
        double shortTaskDemand = 0;
        double shortTaskSize = 0;
        TimePoint demandAt {};

        void smoothDemand(TimePoint now);
        // Returns the millicores that short tasks use or can use on an executor after the given
        // resources are reserved there.
        std::int64_t shortTaskCapacityOn(const ActiveExecutor& executor, const Resources& without) const;
    };

    const ServiceLoad* find(std::string_view service) const;

    std::map<std::string, ServiceLoad, std::less<>> m_services;
};

} // namespace plantainhold
