// The shell of one shard: one thread reads its stream, one decides, and the
// command pool talks to the workers. All decisions are the controller's.
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
    // Precondition: the pool and the metrics outlive the owner's threads.
    ShardReplica(InstanceContext& context, CommandPool& pool, TaskMetrics& metrics, std::uint32_t shard);
    ~ShardReplica();
    ShardReplica(const ShardReplica&) = delete;
    ShardReplica& operator=(const ShardReplica&) = delete;

    // The shard that takes what this one passes on. Precondition: called before
    // start(); the other shard lives as long as this one.
    void setNextShard(ShardReplica& next) { m_nextShard = &next; }

    void start();
    void stop();
    // Hands the shard over as soon as no command is under way. Thread-safe, as all that follows.
    void release();
    bool isReleased() const;

    // Appends records on behalf of a caller and waits until they are read back,
    // all together. Returns for each whether it was. Precondition: the records'
    // ids are unique to this call.
    std::vector<bool> appendAndWait(std::span<const task::TaskRecord> records, Milliseconds timeout);

    // Carries out one command; called by the pool. Blocks on the worker.
    void execute(const WorkerCommand& command);

    std::uint32_t shard() const { return m_shard; }
    // Looks at the shard's state under its lock; the function must not block.
    void inspect(const std::function<void(const ShardReducer&)>& visitor) const;
    ShardLeaseState lease() const;
    bool ownsLease() const;
    // The shard's state has been read to the end of the log at least once.
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
    // Brings the next shard what was passed on, until it is read back there.
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

    // Only the reading thread touches these.
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
    // Records that callers wait for; set once read back.
    std::unordered_map<std::string, bool> m_awaited;
    bool m_isDecisionWanted = false;
    ShardReplica* m_nextShard = nullptr;

    // Only the deciding thread touches these.
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
