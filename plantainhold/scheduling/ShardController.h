// ShardController is one instance's state machine for one shard, without threads
// or sockets. It combines the state read from the log, the lease, the workers and
// the placement policy, and decides which records and commands come next. Its
// inputs are events and the time, its outputs are records and commands, so that a
// test can apply them in any order.
// Not thread-safe.
#pragma once

#include "plantainhold/base/StrategySet.h"
#include "plantainhold/ports/Instance.h"
#include "plantainhold/scheduling/DecisionNote.h"
#include "plantainhold/scheduling/LeaseManager.h"
#include "plantainhold/scheduling/PendingAppends.h"
#include "plantainhold/scheduling/PlacementPolicy.h"
#include "plantainhold/scheduling/ShardReducer.h"
#include "plantainhold/scheduling/WorkerDriver.h"

#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace plantainhold {

namespace task {
    class TaskRecord;
} // namespace task

// A record to append to the shard's stream.
struct ShardRecord {
    std::string id;
    std::string payload;
};

class ShardController {
public:
    // Precondition: the policy outlives the controller.
    ShardController(std::string incarnation, const SchedulingTimes& times, const StrategySet& strategies, PlacementPolicy& policy, const ReducerLimits& limits = {});

    // Replaces the state by that of a snapshot.
    void restore(ShardState state, TimePoint now);
    // Applies a record that was read. Precondition: called in log order.
    void recordRead(std::uint64_t offset, const task::TaskRecord& record, TimePoint now);
    // Reports that a read that started at startedAt reached the end of the stream.
    void logRead(TimePoint startedAt) { m_leaseManager.logRead(startedAt); }
    void logReadFailed() { m_leaseManager.logReadFailed(); }
    // Replaces the list of the shard's workers, which the platform supplies.
    void setWorkerList(std::span<const Instance> workers);

    // Sets the number of shards in the data centre; a task visits each shard at most
    // once. Precondition: called before the first decision.
    void setShardCount(std::uint32_t shards) { m_shardCount = shards; }
    // Reports that the next shard has a task that this shard forwarded.
    void confirmArrival(const std::string& task) { m_arrivals.insert(task); }

    // Returns the records to append now.
    std::vector<ShardRecord> decide(const LeaseContext& context, TimePoint now);

    std::optional<WorkerCommand> nextCommand(const std::string& worker, TimePoint now);
    // Whether the command may still be sent. Must be called immediately before the
    // send, as the process may have been paused since nextCommand().
    bool maySend(const WorkerCommand& command, TimePoint now) const;
    void commandDropped(const WorkerCommand& command) { m_driver.commandDropped(command); }
    void commandCompleted(const WorkerCommand& command, const WorkerCommandResult& result, TimePoint now);

    const ShardReducer& reducer() const { return m_reducer; }
    const WorkerDriver& driver() const { return m_driver; }
    const LeaseManager& leaseManager() const { return m_leaseManager; }
    bool isOwner() const { return m_leaseManager.isOwner(m_reducer.lease()); }
    bool mayCommand(TimePoint now) const { return m_leaseManager.mayCommand(m_reducer.lease(), now); }
    // Returns the events to log and clears the list.
    std::vector<DecisionNote> takeNotes();

private:
    // Lets tests serialize the private state.
    friend class StateDigest;

    struct WorkerCondition {
        bool isUnresponsive = false;
        bool hasOrphans = false;
    };

    CommandPermissions permissions(TimePoint now) const;
    TimePoint inheritedUntil() const;
    void ownershipMayHaveChanged(std::uint64_t epochBefore, bool wasOwner, TimePoint now);
    void taskChanged(const std::string& task, TaskPhase phaseBefore, std::uint32_t attemptBefore, AttemptState endState, TimePoint now);
    void noteTask(EventId event, const TaskEntry& entry, std::string reason);
    void replayStateToPolicy(TimePoint now);

    void appendLease(const LeaseContext& context, TimePoint now, std::vector<ShardRecord>& records);
    void appendEnds(TimePoint now, std::vector<ShardRecord>& records);
    void appendCheckpoints(TimePoint now, std::vector<ShardRecord>& records);
    void appendPlan(TimePoint now, std::vector<ShardRecord>& records);
    void appendPlacement(const PlacementPlan::TaskPlacement& placing, TimePoint now, std::vector<ShardRecord>& records);
    void appendRefusal(const PlacementPlan::Refusal& refusal, TimePoint now, std::vector<ShardRecord>& records);
    void appendMoves(TimePoint now, std::vector<ShardRecord>& records);
    void appendArrivals(TimePoint now, std::vector<ShardRecord>& records);
    bool mayMove(const TaskEntry& entry) const;
    void evict(const AttemptId& id, const std::string& reason);
    void evictExcess();
    WorkerCondition conditionOf(const std::string& worker) const;
    // Adds notes if the worker has become unresponsive or orphans were found on it.
    void noteWorker(const std::string& worker, const WorkerCondition& before);
    void dropOldPlacements(TimePoint now);
    void append(task::TaskRecord record, TimePoint now, std::vector<ShardRecord>& records);

    SchedulingTimes m_times;
    StrategySet m_strategies;
    PlacementPolicy* m_policy;
    ReducerLimits m_limits;
    ShardReducer m_reducer;
    LeaseManager m_leaseManager;
    WorkerDriver m_driver;
    PendingAppends m_pendingAppends;
    std::map<std::string, TentativePlacement> m_tentative;
    std::vector<DecisionNote> m_notes;
    std::uint32_t m_shardCount = 1;
    std::set<std::string> m_arrivals;
    bool m_hasWorkerList = false;
    bool m_isActive = false;
};

} // namespace plantainhold
