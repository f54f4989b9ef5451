// Runs one policy through one scenario and measures what its users would feel.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace plantainhold::bench {

struct ClosedMeasures {
    // 99th percentile over services and seconds of slowdown over its limit.
    double p99OverObjective = 0;
    // Share of service seconds over the limit or without a running executor.
    double outOfObjective = 0;
    double coreHoursPerHour = 0;
    double evictions = 0;
    double lostCoreHours = 0;
    double completedTasks = 0;
    double failedTasks = 0;
    double urgentWaitSeconds = 0;
};

// The names of all policies, in the order of the report's rows.
const std::vector<std::string>& closedPolicyNames();

// Precondition: the policy is one of closedPolicyNames(). Thread-safe.
ClosedMeasures runClosed(std::string_view policy, std::string_view team, std::uint32_t seed);

} // namespace plantainhold::bench
