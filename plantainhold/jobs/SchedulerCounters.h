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
};

} // namespace plantainhold
