// What a policy sees of the closed-loop fake: the same events that the daemon
// feeds to the planner, with the lag and noise of reports, and nothing else.
#pragma once

#include "plantainhold/policy/Plan.h"
#include "plantainhold/policy/TaskRequest.h"
#include "plantainhold/ports/Clock.h"
#include "plantainhold/ports/WorkerPort.h"

#include <string>

namespace plantainhold {
struct WorkerObservation;
}

namespace plantainhold::bench {

class ClosedPolicy {
public:
    virtual ~ClosedPolicy() = default;

    // Not thread-safe; one run calls from one thread.
    virtual void workerUpdated(const WorkerObservation& worker, TimePoint now) = 0;
    virtual void taskWaiting(const TaskRequest& request, TimePoint now) = 0;
    virtual void attemptStarted(const AttemptId& id, const TaskRequest& request, const std::string& worker, const Resources& reserved, TimePoint now) = 0;
    virtual void attemptEnded(const AttemptReport& last, TimePoint now) = 0;
    virtual void sample(const AttemptReport& report, TimePoint now) = 0;
    virtual Plan plan(TimePoint now) = 0;
};

} // namespace plantainhold::bench
