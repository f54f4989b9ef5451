// PlacementPolicy decides where tasks run and which tasks are preempted. Its plans
// are only proposals: an assignment is void unless the log accepts it, so that a
// policy can be wrong but cannot break the guarantees about running tasks.
#pragma once

#include "plantainhold/ports/WorkerPort.h"
#include "plantainhold/scheduling/AttemptTracker.h"
#include "plantainhold/scheduling/DecisionNote.h"
#include "plantainhold/scheduling/ShardReducer.h"
#include "plantainhold/scheduling/WorkerTracker.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace plantainhold {

// A placement whose record was appended and not read back yet.
struct TentativePlacement {
    std::string worker;
    Resources reserved;
    std::uint32_t attempt = 0;
    std::string reason;
    TimePoint sentAt;
};

// The shard's state as its owner sees it now, as input of a policy.
struct ShardView {
    const ShardReducer& reducer;
    const std::map<std::string, WorkerTracker>& workers;
    const std::map<AttemptId, AttemptTracker>& attempts;
    const std::map<std::string, TentativePlacement>& tentative;
    // Every listed worker was described, and the settle time since the takeover has passed.
    bool isWorkerViewComplete = false;

    // Returns the resources that are reserved on the worker, by the log or by a tentative placement.
    Resources reservedOn(const std::string& worker) const;
};

struct PlacementPlan {
    struct TaskPlacement {
        std::string task;
        std::string worker;
        Resources reserved;
        std::string reason;
    };
    struct Throttling {
        AttemptId attempt;
        std::uint32_t percent = 100;
        std::string reason;
    };
    struct Eviction {
        AttemptId attempt;
        std::string reason;
    };
    struct Refusal {
        std::string task;
        std::string reason;
    };
    std::vector<TaskPlacement> placements;
    std::vector<Throttling> throttles;
    std::vector<AttemptId> checkpoints;
    // Attempts to checkpoint and then stop; their tasks wait again.
    std::vector<Eviction> evictions;
    // Tasks that no worker of the shard can ever run.
    std::vector<Refusal> impossible;
    // Further events to log for the operator.
    std::vector<DecisionNote> notes;
};

class PlacementPolicy {
public:
    virtual ~PlacementPolicy() = default;

    // Notifications for policies that keep their own state. None of the methods is
    // thread-safe.
    virtual void ownershipStarted() { }
    virtual void taskWaiting(const TaskEntry&, TimePoint) { }
    virtual void taskRemoved(const std::string&) { }
    virtual void attemptAssigned(const TaskEntry&, TimePoint) { }
    virtual void placementFailed(const std::string&, TimePoint) { }
    // The report is the newest one, with the state in which the attempt ended.
    virtual void attemptEnded(const AttemptReport&, TimePoint) { }
    virtual void reportReceived(const AttemptReport&, TimePoint) { }

    // Returns the placements and other actions to take for the given view.
    virtual PlacementPlan plan(const ShardView& view, TimePoint now) = 0;
};

} // namespace plantainhold
