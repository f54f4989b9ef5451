// Decides where the tasks of one shard run, and which batch tasks are throttled or
// evicted to protect latency-critical neighbours. The planner turns events into
// decisions without sockets or a clock of its own, and knows only what workers report.
//
// Usage: report every event as it happens, call plan() every few hundred milliseconds
// and after new tasks are waiting, and carry out the decisions that it returns. A new
// owner of the shard builds a new planner and replays workers, teams, waiting tasks
// and running attempts into it.
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
    // No method of this class is thread-safe: one thread owns a planner.
    explicit Planner(const PlannerOptions& options);
    ~Planner();
    Planner(const Planner&) = delete;
    Planner& operator=(const Planner&) = delete;

    // Reports a worker that was added, or whose capacity, rack or isLeaving changed.
    void workerUpdated(const WorkerObservation& observation, TimePoint now);
    // Reports that a worker was removed or lost. Reservations on it are kept until attemptEnded().
    void workerRemoved(std::string_view worker, TimePoint now);
    // Sets a team's quota and weight. The quota is this shard's part of the team's total quota.
    void teamUpdated(const TeamShare& share);

    // Queues a task for placement, either a new one or one that is to run again after
    // an attempt ended. Does nothing if the task is already waiting or placed.
    void taskWaiting(const TaskRequest& request, TimePoint now);
    // Removes a waiting task that was cancelled or moved to another shard. Does nothing
    // if the task is not waiting. O(log n).
    void taskRemoved(std::string_view task);

    // Reports that an attempt was recorded on the worker. This confirms a placement of
    // this planner or replays one that was made before the planner was built.
    void attemptStarted(const AttemptId& id, const TaskRequest& request, std::string_view worker, const Resources& reserved, TimePoint now);
    // Reports that a placement could not be recorded; the task waits again.
    void placementFailed(std::string_view task, TimePoint now);
    // Reports the confirmed end of an attempt, which frees its resources. The planner
    // learns from Completed and Failed; Stopped is an eviction that took effect.
    void attemptEnded(const AttemptId& id, AttemptState state, TimePoint now);
    // The same with the worker's final report. Its memory use distinguishes a task that
    // ran out of memory from one that failed for another reason.
    void attemptEnded(const AttemptReport& last, TimePoint now);

    // Processes the latest report of a running attempt. Repeating a report is harmless.
    void sample(const AttemptReport& report, TimePoint now);

    // Returns the decisions that are due. The caller must carry out every decision, or
    // undo a placement with placementFailed(). Actions that had no effect are repeated later.
    Plan plan(TimePoint now);

    // Number of waiting tasks, and of tasks that hold resources, for reports.
    std::size_t waitingTasks() const;
    std::size_t runningTasks() const;

private:
    class State;
    std::unique_ptr<State> m_state;
};

} // namespace plantainhold
