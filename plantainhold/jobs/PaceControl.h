// Chooses how fast the tasks beside serving ones may work on one executor: a
// multiplicative decrease while a serving task misses its target or nearly does, an
// additive increase while all are well within it.
#pragma once

#include "plantainhold/jobs/SchedulerLimits.h"
#include "plantainhold/ports/Clock.h"

namespace plantainhold {

struct ActiveExecutor;

class PaceControl {
public:
    // Thread-safe.
    explicit PaceControl(const SchedulerLimits& limits)
        : m_limits(limits)
    {
    }

    // Sets the executor's pace from the newest figures of its runs. Not thread-safe.
    void steer(ActiveExecutor& executor, TimePoint now) const;

private:
    const SchedulerLimits& m_limits;
};

} // namespace plantainhold
