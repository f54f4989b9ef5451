// Follows one shard of this data centre's workers and, while it holds the
// shard's lease, runs its tasks: assigns, starts, renews, and records the end.
#pragma once

#include "plantainhold/log/StreamCursor.h"
#include "plantainhold/log/StreamWriter.h"
#include "plantainhold/ports/Instance.h"
#include "plantainhold/ports/WorkerPort.h"
#include "plantainhold/scheduling/ShardReducer.h"

#include <atomic>
#include <condition_variable>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace plantainhold {

struct InstanceContext;

class ShardOwner {
public:
    ShardOwner(InstanceContext& context, std::uint32_t shard);
    ~ShardOwner();

    void start();
    void stop();
    // Hands the shard over: releases the lease as soon as nothing is being started.
    void release();
    bool isReleased() const;

    // Appends a record on behalf of a caller and waits until it is read back. Thread-safe.
    bool appendAndWait(task::TaskRecord record, Milliseconds timeout);

    std::uint32_t shard() const { return m_shard; }
    // Copies for reports. Thread-safe.
    std::optional<TaskEntry> find(const std::string& task) const;
    std::map<std::string, TaskEntry> tasks() const;
    ShardLeaseState lease() const;
    bool ownsLease() const;

private:
    struct LiveAttempt {
        bool isStarted = false;
        TimePoint lastRenewed;
    };

    void run();
    void takeChunk(const StreamChunk& chunk);
    void keepLease();
    void proposeLease(bool isRenewal, bool isRelease);
    void serveTasks();
    void assignWaiting();
    void driveAttempts();
    void driveWorker(const WorkerAddress& worker, const std::vector<AttemptId>& ids);
    void handleReport(const AttemptReport& report);
    void submit(task::TaskRecord record);
    bool isLeaseValid() const;
    bool isPreferredOwner() const;
    std::vector<Instance> shardWorkers() const;

    InstanceContext& m_context;
    const std::uint32_t m_shard;
    const std::string m_stream;
    StreamCursor m_cursor;
    StreamWriter m_writer;

    mutable std::mutex m_mutex;
    std::condition_variable m_progress;
    ShardReducer m_reducer;
    std::unordered_set<std::string> m_readBack;

    // Only the run thread touches what follows.
    TimePoint m_lastLeaseChange;
    TimePoint m_lastProposal;
    std::optional<std::string> m_proposalId;
    std::map<AttemptId, LiveAttempt> m_attempts;
    std::unordered_set<std::string> m_inFlight;
    std::map<std::string, WorkerDescription> m_descriptions;
    TimePoint m_lastPoll;
    bool m_hasReachedEnd = false;

    std::atomic<TimePoint::rep> m_validUntil { 0 };
    std::atomic<bool> m_isReleasing { false };
    std::atomic<bool> m_isStopping { false };
    std::thread m_thread;
};

} // namespace plantainhold
