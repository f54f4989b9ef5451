// What the owner knows about one live attempt besides the log.
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
    // The worker refused the start, restarted, or forgot the attempt: the stop
    // leaves a tombstone that turns a late start away.
    Tombstone,
};

// How it is known that an attempt is over.
struct AttemptEndProof {
    AttemptState state = AttemptState::Unknown;
    std::string detail;
    std::uint32_t checkpoint = 0;
};

struct AttemptTracker {
    AttemptLease lease { TimePoint() };
    // Assigned under an earlier epoch: its former owner may have sent commands.
    bool isInherited = false;
    // The worker has reported it as running.
    bool isStarted = false;
    // A start may have arrived; the worker has to be asked before another is sent.
    bool isStartUncertain = false;
    StopCause stopCause = StopCause::None;
    std::string stopReason;
    // Whether a checkpoint should be taken before the stop.
    bool isCheckpointRequested = false;
    std::uint32_t targetThrottlePercent = 100;
    // The newest report and when it came.
    AttemptReport report;
    TimePoint reportedAt;
    std::optional<AttemptEndProof> proof;
};

} // namespace plantainhold
