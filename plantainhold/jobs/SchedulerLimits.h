// Limits of the scheduler, from the platform's rules and our own settings.
#pragma once

#include "plantainhold/ports/Clock.h"

#include <cstddef>
#include <cstdint>

namespace plantainhold {

struct SchedulerLimits {
    // Lease of an executor's runs, renewed with each report. It must outlast a change of owner, yet
    // be short enough that the tasks of a lost executor soon run elsewhere.
    Milliseconds lease { 4'500 };
    // The longest lease that an executor grants, whatever is requested.
    Milliseconds maxLease { 6'000 };
    // How long a former owner may keep extending leases after its membership expired.
    Milliseconds formerOwnerGrace { 2'000 };
    // Maximum fraction by which an executor's clock may run slower than ours.
    double clockDrift = 0.02;
    // Maximum server-side wait of one report call.
    Milliseconds reportWait { 1'000 };
    // The same where best-effort tasks run beside latency-critical ones, whose load changes within a second.
    Milliseconds sharedReportWait { 200 };
    // Reports a second from all shared executors together; with more executors, each reports less often.
    std::uint32_t maxSharedReportsPerSecond = 1'500;
    Milliseconds stopTimeout { 900 };
    // Interval between two stop commands for a run that has not ended.
    Milliseconds stopRepeat { 1'200 };
    // How long a latency-critical task may miss its target.
    Milliseconds interferenceLimit { 4'000 };
    // How long the final state of a job is kept.
    Milliseconds finishedRetention { 120'000 };
    // Most bytes of the value of one record. Progress above it is divided among several.
    std::size_t maxRecordBytes = 200'000;
    // Delay before a task is tried again after a rejection.
    Milliseconds retryDelay { 100 };
    // How many times as long a task takes away from its data, or a gang that wants one rack on several; 1: nothing waits.
    double remoteFactor = 1;
};

} // namespace plantainhold
