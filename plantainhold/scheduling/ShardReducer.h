// ShardReducer computes the owner of a shard and the state of its tasks from the
// shard's stream. It is pure and deterministic: the result depends only on the
// order of the log. An owner's record whose epoch is not the shard's is void, and
// each record takes effect only on the state for which it was written. So
// duplicates and late appends change nothing, and no list of applied ids is needed.
// Not thread-safe.
#pragma once

#include "plantainhold/base/StrategySet.h"
#include "plantainhold/scheduling/CapacityLedger.h"
#include "plantainhold/scheduling/EndedTaskIds.h"
#include "plantainhold/scheduling/ShardLeaseState.h"
#include "plantainhold/scheduling/TaskEntry.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>

namespace plantainhold {

namespace task {
    class TaskRecord;
} // namespace task

// Limits of a shard's memory. They must be the same on every instance.
struct ReducerLimits {
    // Tasks that have not ended. Submissions beyond this limit are void.
    std::size_t liveTasks = 50'000;
    // Ended tasks whose entries are kept.
    std::size_t endedTasks = 1000;
    // Ended tasks of which only the ids are remembered, after their entries were removed.
    std::size_t endedIds = 16'384;
};

// The state that snapshots contain. All other data of the reducer is derived from it.
struct ShardState {
    ShardLeaseState lease;
    std::map<std::string, TaskEntry> tasks;
    std::uint64_t nextOrder = 1;
    std::deque<std::uint64_t> endedIds;
};

// Sort key of waiting tasks: urgent tasks, then services, then batch tasks, each by
// order of submission.
struct WaitingKey {
    std::uint8_t rank = 0;
    std::uint64_t order = 0;
    std::string task;

    auto operator<=>(const WaitingKey&) const = default;
};

class ShardReducer {
public:
    explicit ShardReducer(const ReducerLimits& limits = {}, const StrategySet& strategies = {});
    ShardReducer(ShardState state, const ReducerLimits& limits, const StrategySet& strategies);

    // Applies one record and returns whether it took effect. Precondition: called in
    // log order.
    bool apply(std::uint64_t offset, const task::TaskRecord& record);

    const ShardLeaseState& lease() const { return m_state.lease; }
    const std::map<std::string, TaskEntry>& tasks() const { return m_state.tasks; }
    const ShardState& state() const { return m_state; }
    const TaskEntry* find(const std::string& task) const;
    // Whether the task has ended and only its id is still remembered.
    bool isRememberedAsEnded(const std::string& task) const { return m_endedIds.contains(task); }
    const CapacityLedger& ledger() const { return m_ledger; }
    const std::set<WaitingKey>& waiting() const { return m_waiting; }
    // Forwarded tasks whose arrival in the next shard is not confirmed.
    const std::set<std::string>& departing() const { return m_departing; }
    std::size_t liveTasks() const { return m_state.tasks.size() - m_ended.size(); }
    // Returns the state with everything that a rebuild needs, including endedIds.
    ShardState snapshot() const;

private:
    bool applyLease(const task::TaskRecord& record);
    bool applyOwnerGone(const task::TaskRecord& record);
    bool applyReset(std::uint64_t offset);
    bool applySubmitted(const task::TaskRecord& record);
    bool applyAssigned(const task::TaskRecord& record);
    bool applyCheckpointed(const task::TaskRecord& record);
    bool applyEnded(const task::TaskRecord& record);
    bool applyCancel(const task::TaskRecord& record);
    bool applyMovedOn(const task::TaskRecord& record);
    bool applyArrived(const task::TaskRecord& record);

    void applyClaim(const std::string& claimant);
    void rebuildIndexes();
    void startWaiting(TaskEntry& entry);
    void end(TaskEntry& entry, TaskPhase phase);
    void forgetOldest();
    TaskEntry* findMutable(const std::string& task);

    ReducerLimits m_limits;
    StrategySet m_strategies;
    ShardState m_state;
    CapacityLedger m_ledger;
    std::set<WaitingKey> m_waiting;
    std::set<std::string> m_departing;
    // Ended tasks whose entries are kept, oldest first.
    std::deque<std::string> m_ended;
    EndedTaskIds m_endedIds;
};

} // namespace plantainhold
