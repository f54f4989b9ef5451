// Folds one shard's stream into who owns the shard and what its tasks are
// doing. Pure and deterministic: the log's order decides, and nothing else. A
// record of another epoch than the shard's is void, and each record only takes
// effect on the state that it was written for, so that repeats and late appends
// change nothing and no list of applied ids is needed.
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

// Bounds of a shard's memory; the same on every instance.
struct ReducerLimits {
    // Tasks that have not ended; further submissions are void.
    std::size_t liveTasks = 50'000;
    // Ended tasks that are kept whole.
    std::size_t endedTasks = 1000;
    // Ended tasks whose ids are remembered after that.
    std::size_t endedIds = 16'384;
};

// What has to last; everything else is derived from it.
struct ShardState {
    ShardLeaseState lease;
    std::map<std::string, TaskEntry> tasks;
    std::uint64_t nextOrder = 1;
    std::deque<std::uint64_t> endedIds;
};

// Order of waiting tasks: urgent ones, services, batch tasks; each by submission.
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

    // Applies one record in log order. Returns whether it took effect. Not
    // thread-safe, as all here.
    bool apply(std::uint64_t offset, const task::TaskRecord& record);

    const ShardLeaseState& lease() const { return m_state.lease; }
    const std::map<std::string, TaskEntry>& tasks() const { return m_state.tasks; }
    const ShardState& state() const { return m_state; }
    const TaskEntry* find(const std::string& task) const;
    // Whether the task ended so long ago that only its id is remembered.
    bool isRememberedAsEnded(const std::string& task) const { return m_endedIds.contains(task); }
    const CapacityLedger& ledger() const { return m_ledger; }
    const std::set<WaitingKey>& waiting() const { return m_waiting; }
    // Tasks passed on that the next shard is not known to have.
    const std::set<std::string>& departing() const { return m_departing; }
    std::size_t liveTasks() const { return m_state.tasks.size() - m_ended.size(); }
    // The state with everything that a rebuild needs.
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
    // Ended tasks that are kept whole, oldest first.
    std::deque<std::string> m_ended;
    EndedTaskIds m_endedIds;
};

} // namespace plantainhold
