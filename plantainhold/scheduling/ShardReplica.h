// ShardReplica runs the I/O of one shard on this instance, whether or not the
// instance owns the shard: one thread reads the shard's stream, one makes
// decisions, and the command pool calls the workers. ShardController makes all
// decisions.
#pragma once

#include "plantainhold/log/StreamCursor.h"
#include "plantainhold/log/StreamWriter.h"
#include "plantainhold/ports/Instance.h"
#include "plantainhold/scheduling/ShardController.h"
#include "plantainhold/scheduling/ShardSnapshots.h"

#include <atomic>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <span>
#include <string>
#include <thread>
#include <unordered_map>
#include <vector>

namespace plantainhold {

class CommandPool;
class TaskMetrics;
struct InstanceContext;

class ShardReplica {
public:
    // Precondition: the pool and the metrics outlive the replica's threads.
    ShardReplica(InstanceContext& context, CommandPool& pool, TaskMetrics& metrics, std::uint32_t shard);
    ~ShardReplica();
    ShardReplica(const ShardReplica&) = delete;
    ShardReplica& operator=(const ShardReplica&) = delete;

    // Sets the shard that receives the tasks that this one forwards. Preconditions:
    // called before start(); the other shard lives as long as this one.
    void setNextShard(ShardReplica& next) { m_nextShard = &next; }

    void start();
    void stop();
    // Releases the shard as soon as no command is in flight. Thread-safe, as are all
    // methods below.
    void release();
    bool isReleased() const;

    // Appends the records and waits until all of them are read back or the timeout
    // expires. Returns for each record whether it was read back. Precondition: the
    // ids of the records are used by no other call.
    std::vector<bool> appendAndWait(std::span<const task::TaskRecord> records, Milliseconds timeout);

    // Executes one command; called by the pool. Blocks until the worker responds or the call fails.
    void execute(const WorkerCommand& command);

    std::uint32_t shard() const { return m_shard; }
    // Calls the function with the shard's state under the lock. The function must not block.
    void inspect(const std::function<void(const ShardReducer&)>& visitor) const;
    ShardLeaseState lease() const;
    bool ownsLease() const;
    // Whether the log has been read to its end since the last rebuild started.
    bool isRebuilt() const { return m_hasReachedEnd; }
    std::string statusText() const;

private:
    void readLoop();
    void rebuild();
    void restore(ShardState state, std::uint64_t from);
    void waitForReset(const SnapshotSearch& search);
    void applyChunk(const StreamChunk& chunk, TimePoint startedAt);
    void applyRecord(const StreamRecord& record, TimePoint now);
    void decideLoop();
    void decideOnce();
    // Submits forwarded tasks to the next shard until they are read back there.
    void forwardTasks();
    void snapshotIfDue();
    void refreshInstances();
    LeaseContext leaseContext() const;
    WorkerCommandResult send(const WorkerCommand& command);
    void wakeDecision();
    void log(const std::vector<DecisionNote>& notes);
    bool pause(Milliseconds duration);

    InstanceContext& m_context;
    CommandPool& m_pool;
    TaskMetrics& m_metrics;
    const std::uint32_t m_shard;
    const std::string m_stream;
    std::unique_ptr<PlacementPolicy> m_policy;
    StreamWriter m_writer;

    // Accessed only by the reading thread.
    std::optional<StreamCursor> m_cursor;
    ShardSnapshots m_snapshots;
    bool m_mustRebuild = true;
    std::optional<TimePoint> m_unrecoverableSince;
    TimePoint m_lastRequestAt;
    bool m_isSnapshotRequested = false;

    mutable std::mutex m_mutex;
    std::condition_variable m_progress;
    std::condition_variable m_decision;
    ShardController m_controller;
    // The ids of records that callers wait for, and whether each was read back.
    std::unordered_map<std::string, bool> m_awaited;
    bool m_isDecisionWanted = false;
    ShardReplica* m_nextShard = nullptr;

    // Accessed only by the deciding thread.
    TimePoint m_lastForwardedAt;
    std::uint64_t m_viewVersion = 0;
    std::vector<std::string> m_candidates;

    std::atomic<bool> m_hasReachedEnd { false };
    std::atomic<bool> m_isReleasing { false };
    std::atomic<bool> m_isStopping { false };
    std::thread m_reader;
    std::thread m_decider;
};

} // namespace plantainhold
