// Bounds of the scheduler, from the platform's settings and our own.
#pragma once

#include "plantainhold/ports/Clock.h"

#include <cstdint>

namespace plantainhold {

struct SchedulerLimits {
    // Lease of what runs, renewed with each report. Long enough to outlive a change
    // of owner, short enough that what ran on a lost executor soon runs elsewhere.
    Milliseconds lease { 4'500 };
    // How long a former owner may go on extending leases after its membership lapsed.
    Milliseconds formerOwnerGrace { 2'000 };
    // An executor's clock may run this much slower than ours.
    double clockDrift = 0.02;
    // Longest wait of one report call.
    Milliseconds reportWait { 1'000 };
    // The same while a serving task there is near its target or misses it.
    Milliseconds pressuredReportWait { 350 };
    Milliseconds stopTimeout { 900 };
    // How long a serving task may miss its target.
    Milliseconds interferenceLimit { 4'000 };
    // How long a job's end stays known.
    Milliseconds finishedRetention { 120'000 };
    // Interval before the same task is tried again after a rejection.
    Milliseconds retryDelay { 100 };
};

} // namespace plantainhold
