// The decisions of one Planner::plan() call. The caller carries them out and reports
// the outcome through the planner's event methods.
#pragma once

#include "plantainhold/base/Event.h"
#include "plantainhold/ports/Resources.h"
#include "plantainhold/ports/WorkerPort.h"

#include <cstdint>
#include <string>
#include <vector>

namespace plantainhold {

// Starts a waiting task on a worker. The planner counts the resources as reserved until
// Planner::attemptEnded() or Planner::placementFailed().
struct Placement {
    std::string task;
    std::string worker;
    Resources reserved;
    EventId event = EventId::TaskPlaced;
    std::string reason;
};

enum class PolicyActionKind : std::uint8_t {
    // Runs the attempt at throttlePercent of full speed.
    Throttle,
    // Saves the attempt's progress; the attempt continues to run.
    Checkpoint,
    // Saves the attempt's progress, then stops it. The task waits again once the end of
    // the attempt is confirmed.
    Evict,
};

struct PolicyAction {
    PolicyActionKind kind = PolicyActionKind::Throttle;
    AttemptId attempt;
    std::string worker;
    std::uint32_t throttlePercent = 100;
    EventId event = EventId::TaskThrottled;
    std::string reason;
};

// A waiting task that can never be placed; the caller ends it with this reason.
struct ImpossibleTask {
    std::string task;
    EventId event = EventId::TaskImpossible;
    std::string reason;
};

// Information for operators that requires no action by the caller.
struct PolicyNotice {
    EventId event = EventId::WorkerQuarantined;
    // The name of a worker or of a task kind.
    std::string subject;
    std::string reason;
};

struct Plan {
    std::vector<Placement> placements;
    std::vector<PolicyAction> actions;
    std::vector<ImpossibleTask> impossible;
    std::vector<PolicyNotice> notices;
};

} // namespace plantainhold
