// An occurrence that was begun and of which only steps are left that find no place: what is done of it. It takes some
// hundred bytes, so that a job may have very many of them.
#pragma once

#include "plantainhold/jobs/IndexRange.h"
#include "plantainhold/ports/Clock.h"

#include <cstdint>
#include <vector>

namespace plantainhold {

struct SuspendedOccurrence {
    struct DoneRange {
        std::uint32_t step = 0;
        IndexRange tasks;
    };

    TimePoint waitingSince {};
    std::vector<DoneRange> done;
};

} // namespace plantainhold
