// How much an owner keeps of jobs that have not ended. It follows the jobs and the tasks that are placed, not how many
// tasks the jobs declare or have done.
#pragma once

#include <cstddef>

namespace plantainhold {

struct KeptState {
    std::size_t jobs = 0;
    // Occurrences that are open.
    std::size_t occurrences = 0;
    // Occurrences that were begun and of which only steps are left that find no place.
    std::size_t suspendedOccurrences = 0;
    // Tasks with an object.
    std::size_t tasks = 0;
};

} // namespace plantainhold
