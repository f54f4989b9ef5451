// Decides where the tasks of one shard run, and which are slowed down or evicted
// for the sake of latency-critical neighbours. Pure: events in, decisions out, no
// sockets, no clock of its own. The planner sees only what workers report.
//
// Usage: feed every event as it happens, call plan() every few hundred
// milliseconds and after waiting tasks arrived, perform what it returns. A new
// owner of the shard builds a new planner and replays workers, teams, waiting
// tasks and running attempts into it.
#pragma once

#include "plantainhold/policy/Plan.h"
#include "plantainhold/policy/PlannerOptions.h"
#include "plantainhold/policy/TaskRequest.h"
#include "plantainhold/policy/TeamAccounts.h"
#include "plantainhold/ports/WorkerPort.h"

#include <memory>
#include <string_view>

namespace plantainhold {

struct WorkerObservation;

class Planner {
public:
    // Not thread-safe, as the whole class: one thread owns a planner.
    explicit Planner(const PlannerOptions& options);
    ~Planner();
    Planner(const Planner&) = delete;
    Planner& operator=(const Planner&) = delete;

    // A worker is there, or its capacity, rack or leaving mark changed.
    void workerUpdated(const WorkerObservation& observation, TimePoint now);
    // A worker vanished. What is reserved on it stays so until attemptEnded().
    void workerRemoved(std::string_view worker, TimePoint now);
    // A team's quota and weight. The quota is this shard's part of the team's whole.
    void teamUpdated(const TeamShare& share);

    // The task may be placed from now on. Also after an attempt ended and the
    // task is to run again. Does nothing when the task already waits.
    void taskWaiting(const TaskRequest& request, TimePoint now);
    // A waiting task is cancelled or moved away. Does nothing when it does not wait. O(log n).
    void taskRemoved(std::string_view task);

    // The attempt is recorded on the worker: confirms a placement of this
    // planner, or tells of one made before it was built.
    void attemptStarted(const AttemptId& id, const TaskRequest& request, std::string_view worker, const Resources& reserved, TimePoint now);
    // A placement was not recorded after all; the task waits again.
    void placementFailed(std::string_view task, TimePoint now);
    // The attempt is proved over, so its resources are free. The planner learns
    // from Completed and Failed; Stopped is an eviction that took effect.
    void attemptEnded(const AttemptId& id, AttemptState state, TimePoint now);
    // The same with the worker's last report, whose use of memory tells a task
    // that needs more from one that fails for another reason.
    void attemptEnded(const AttemptReport& last, TimePoint now);

    // The newest report of a running attempt. Repeating a report is harmless.
    void sample(const AttemptReport& report, TimePoint now);

    // Decides. The caller performs every decision, or undoes a placement with
    // placementFailed(); actions that had no effect are decided again later.
    Plan plan(TimePoint now);

    // For reports.
    std::size_t waitingTasks() const;
    std::size_t runningTasks() const;

private:
    class State;
    std::unique_ptr<State> m_state;
};

} // namespace plantainhold
