// What the planner decided in one call: the caller performs it, and reports
// back through the planner's events what truly happened.
#pragma once

#include "plantainhold/base/Event.h"
#include "plantainhold/ports/Resources.h"
#include "plantainhold/ports/WorkerPort.h"

#include <cstdint>
#include <string>
#include <vector>

namespace plantainhold {

// The resources count as reserved from here on, until attemptEnded() or placementFailed().
struct Placement {
    std::string task;
    std::string worker;
    Resources reserved;
    EventId event = EventId::TaskPlaced;
    std::string reason;
};

enum class PolicyActionKind : std::uint8_t {
    // Run at throttlePercent of full speed.
    Throttle,
    // Make the work so far durable; the attempt runs on.
    Checkpoint,
    // Checkpoint, then stop; the task waits again once the end is proved.
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

// A waiting task that can never run; the caller ends it with this reason.
struct ImpossibleTask {
    std::string task;
    EventId event = EventId::TaskImpossible;
    std::string reason;
};

// Something an operator should know that asks nothing of the caller.
struct PolicyNotice {
    EventId event = EventId::WorkerQuarantined;
    // A worker or a task kind.
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
