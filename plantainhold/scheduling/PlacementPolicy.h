// Where tasks run and which have to give way: the seam between the safety of
// task life and the policy. The policy proposes; what it proposes is void unless
// the log accepts it, so a policy can be wrong but never unsafe.
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

// A placement that was proposed and not read back yet.
struct TentativePlacement {
    std::string worker;
    Resources reserved;
    std::uint32_t attempt = 0;
    std::string reason;
    TimePoint sentAt;
};

// What the owner of a shard knows now.
struct ShardView {
    const ShardReducer& reducer;
    const std::map<std::string, WorkerTracker>& workers;
    const std::map<AttemptId, AttemptTracker>& attempts;
    const std::map<std::string, TentativePlacement>& tentative;
    // Every worker that is listed has had time to answer.
    bool isSettled = false;

    // Reserved in the log or by a placement under way.
    Resources reservedOn(const std::string& worker) const;
};

struct PlacementPlan {
    struct Placing {
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
    struct Stopping {
        AttemptId attempt;
        std::string reason;
    };
    struct Refusal {
        std::string task;
        std::string reason;
    };
    std::vector<Placing> placements;
    std::vector<Throttling> throttles;
    std::vector<AttemptId> checkpoints;
    // Checkpoint, then stop; the task waits again.
    std::vector<Stopping> evictions;
    // Tasks that can never run here.
    std::vector<Refusal> impossible;
    // What an operator should know besides.
    std::vector<DecisionNote> notes;
};

class PlacementPolicy {
public:
    virtual ~PlacementPolicy() = default;

    // What happens, for policies that keep state of their own. Not thread-safe, as all here.
    virtual void ownershipBegan() { }
    virtual void taskWaiting(const TaskEntry&, TimePoint) { }
    virtual void taskRemoved(const std::string&) { }
    virtual void attemptAssigned(const TaskEntry&, TimePoint) { }
    virtual void placementFailed(const std::string&, TimePoint) { }
    // The newest report, with the state in which the attempt was proved over.
    virtual void attemptEnded(const AttemptReport&, TimePoint) { }
    virtual void sampled(const AttemptReport&, TimePoint) { }

    // Decides on what the view shows.
    virtual PlacementPlan plan(const ShardView& view, TimePoint now) = 0;
};

} // namespace plantainhold
