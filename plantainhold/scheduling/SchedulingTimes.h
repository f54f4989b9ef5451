// SchedulingTimes holds the intervals of shard ownership and task leases. One
// invariant connects them: an instance that waits for another's lease to end
// waits longer than the other can consider the lease valid.
#pragma once

#include "plantainhold/ports/Clock.h"

namespace plantainhold {

struct SchedulingTimes {
    // The duration of a shard lease, before the margin is subtracted.
    Milliseconds shardLease { 3000 };
    // Subtracted by the owner and added by the claimant, to allow for clock drift.
    Milliseconds margin { 500 };
    // How long an attempt continues to run after the last renewal that its worker received.
    Milliseconds taskLease { 6000 };
    // How long an owner that cannot read the log continues to renew task leases.
    Milliseconds renewWithoutLog { 900'000 };
    // A command without a response is executed within this time or never.
    Milliseconds commandLifetime { 30'000 };
    // How long to wait for an appended record to be read back before it is appended again.
    Milliseconds recordRetry { 1500 };
    // Reads of the log that are further apart than this interrupt a claimant's
    // observation of the log.
    Milliseconds maxReadGap { 1000 };
    // Additional wait per rank of a candidate, so that one claims first and the others read its claim.
    Milliseconds rankStagger { 200 };
    Milliseconds workerPoll { 500 };
    Milliseconds describeInterval { 2000 };
    Milliseconds minProbeInterval { 250 };
    Milliseconds maxProbeInterval { 2000 };
    // How long a new owner waits for responses of its workers before it declares a task impossible.
    Milliseconds settleTime { 2000 };
    // How long capacity that is being freed is reserved for the urgent task.
    Milliseconds preemptionLimit { 5000 };
};

} // namespace plantainhold
