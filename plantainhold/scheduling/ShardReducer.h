// Folds one shard's stream into who owns the shard and what its tasks are
// doing. Pure and deterministic: the log's order decides, and nothing else. A
// record of an epoch older than the shard's is void, a repeated record is a
// no-op, so a paused owner's late appends change nothing.
#pragma once

#include "plantainhold/ports/Resources.h"

#include <cstdint>
#include <map>
#include <string>
#include <unordered_set>

namespace plantainhold {

namespace task {
    class TaskRecord;
    class TaskSpec;
} // namespace task

enum class TaskPhase : std::uint8_t {
    Waiting,
    // An attempt may exist on its worker; its resources are reserved.
    Assigned,
    Completed,
    Failed,
    Cancelled,
    Impossible,
};

struct TaskDescription {
    std::string id;
    std::string team;
    std::string profile;
    std::string command;
    Resources resources;
    bool isService = false;
    bool isUrgent = false;
    std::uint32_t expectedMs = 0;
};

struct TaskEntry {
    TaskDescription description;
    TaskPhase phase = TaskPhase::Waiting;
    // Number of the newest attempt; 0 before the first.
    std::uint32_t attempt = 0;
    std::string worker;
    Resources reserved;
    // Newest confirmed checkpoint, in percent.
    std::uint32_t checkpoint = 0;
    bool isCancelRequested = false;
    std::string detail;
};

struct ShardLeaseState {
    std::uint64_t epoch = 0;
    // Counts lease records that took effect.
    std::uint64_t sequence = 0;
    std::string owner;
    bool isReleased = true;
};

class ShardReducer {
public:
    // Applies one record in log order. Returns whether it took effect. Not thread-safe.
    bool apply(const task::TaskRecord& record);

    const ShardLeaseState& lease() const { return m_lease; }
    const std::map<std::string, TaskEntry>& tasks() const { return m_tasks; }
    const TaskEntry* find(const std::string& task) const;

private:
    bool applyLease(const task::TaskRecord& record);
    bool applySubmitted(const task::TaskRecord& record);
    bool applyAssigned(const task::TaskRecord& record);
    bool applyCheckpointed(const task::TaskRecord& record);
    bool applyEnded(const task::TaskRecord& record);
    bool applyCancel(const task::TaskRecord& record);

    // The entry whose current attempt is the named one and not yet over; null otherwise.
    TaskEntry* liveAttempt(const std::string& task, std::uint32_t attempt);

    ShardLeaseState m_lease;
    std::map<std::string, TaskEntry> m_tasks;
    std::unordered_set<std::string> m_appliedIds;
};

} // namespace plantainhold
