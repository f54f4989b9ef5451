// The intervals that ownership and task leases are built on, and the one rule
// that ties them together: whoever waits for another's right to end waits longer
// than that other can believe in it.
#pragma once

#include "plantainhold/ports/Clock.h"

namespace plantainhold {

struct SchedulingTimes {
    // How long a lease record lets its owner command, before the margin is taken off.
    Milliseconds shardLease { 3000 };
    // Taken off by the owner and added by the claimant; covers the drift of their clocks.
    Milliseconds margin { 500 };
    // How long an attempt runs on after the last renewal that its worker received.
    Milliseconds taskLease { 6000 };
    // How long an owner that cannot read the log goes on renewing.
    Milliseconds renewWithoutLog { 900'000 };
    // A command that was not answered is carried out within this time or never.
    Milliseconds commandLifetime { 30'000 };
    // How long a record may go unread before it is appended again.
    Milliseconds recordRetry { 1500 };
    // Reads of the log that lie further apart leave a gap in what a claimant saw.
    Milliseconds maxReadGap { 1000 };
    // The wait of each further candidate, so that one claims and the others see it.
    Milliseconds rankStagger { 200 };
    Milliseconds workerPoll { 500 };
    Milliseconds describeInterval { 2000 };
    Milliseconds minProbeInterval { 250 };
    Milliseconds maxProbeInterval { 2000 };
    // How long an owner waits for all workers to answer before it calls a task impossible.
    Milliseconds settleTime { 2000 };
    // How long room that is being cleared is kept for the urgent task.
    Milliseconds clearingLimit { 5000 };
};

} // namespace plantainhold
