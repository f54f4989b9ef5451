// Counts what one scheduler has decided since its term began, for the metrics page.
#pragma once

#include <cstdint>

namespace plantainhold {

struct SchedulerCounters {
    std::uint64_t runsAssigned = 0;
    std::uint64_t ends = 0;
    std::uint64_t preemptions = 0;
    std::uint64_t rejectedStarts = 0;
    std::uint64_t unknownStarts = 0;
    std::uint64_t lostRuns = 0;
    // Runs of tasks that name the rack of their data, and those of them on another rack.
    std::uint64_t rackRuns = 0;
    std::uint64_t remoteRuns = 0;
    // Those that passed over room elsewhere before, and for how long in all.
    std::uint64_t rackWaits = 0;
    std::uint64_t rackWaitMs = 0;
    // Those that waited and started on another rack all the same.
    std::uint64_t rackWaitsInVain = 0;
};

} // namespace plantainhold
