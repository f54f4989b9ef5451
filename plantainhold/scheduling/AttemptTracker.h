// AttemptTracker is the owner's view of one live attempt, besides what the log says.
#pragma once

#include "plantainhold/ports/WorkerPort.h"
#include "plantainhold/scheduling/AttemptLease.h"

#include <cstdint>
#include <optional>
#include <string>

namespace plantainhold {

enum class StopCause : std::uint8_t {
    None,
    Cancelled,
    Evicted,
    // The worker refused the start, restarted, or no longer has the attempt. The
    // stop leaves a tombstone on the worker, which rejects a late start.
    Tombstone,
};

// Evidence that an attempt has ended, and in which state.
struct AttemptEndProof {
    AttemptState state = AttemptState::Unknown;
    std::string detail;
    std::uint32_t checkpoint = 0;
};

struct AttemptTracker {
    AttemptLease lease { TimePoint() };
    // The attempt was assigned under an earlier epoch, so a former owner may have sent commands.
    bool isInherited = false;
    // The worker has reported the attempt as running.
    bool isStarted = false;
    // A start may have arrived. The worker must be queried before another start is sent.
    bool isStartUncertain = false;
    StopCause stopCause = StopCause::None;
    std::string stopReason;
    // Whether a checkpoint is to be taken; it precedes a stop.
    bool isCheckpointRequested = false;
    std::uint32_t targetThrottlePercent = 100;
    // The newest report and the time at which it was received.
    AttemptReport report;
    TimePoint reportedAt;
    std::optional<AttemptEndProof> proof;
};

} // namespace plantainhold
