// Decides which command each worker of an owned shard gets next, and learns from
// the answers whether attempts run or are over. Pure: it sends nothing itself.
// A worker has at most one command under way, so its commands never overtake
// each other. An attempt counts as over only on proof: the worker's own report,
// a confirmed stop, or a lease that must have lapsed.
#pragma once

#include "plantainhold/base/StrategySet.h"
#include "plantainhold/ports/Instance.h"
#include "plantainhold/scheduling/AttemptTracker.h"
#include "plantainhold/scheduling/ShardReducer.h"
#include "plantainhold/scheduling/WorkerCommand.h"
#include "plantainhold/scheduling/WorkerTracker.h"

#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>

namespace plantainhold {

// What the lease allows at this moment.
struct CommandPermissions {
    std::uint64_t epoch = 0;
    bool mayCommand = false;
    bool mayRenew = false;
};

class WorkerDriver {
public:
    WorkerDriver(const SchedulingTimes& times, const StrategySet& strategies);

    // The shard has become this instance's. Not thread-safe, as all here.
    void beginEpoch(const ShardReducer& reducer);
    // The shard is no longer this instance's.
    void endEpoch();
    // A record about the task was read. Does nothing unless an epoch has begun.
    void taskChanged(const std::string& task, const ShardReducer& reducer);
    // The shard's workers on the platform's list.
    void setWorkerList(std::span<const Instance> workers, const ShardReducer& reducer);

    // The next command, if one is due; the worker is busy until commandCompleted() or commandDropped().
    std::optional<WorkerCommand> nextCommand(const std::string& worker, const CommandPermissions& permissions, const ShardReducer& reducer, TimePoint now);
    // The command was not sent after all.
    void commandDropped(const WorkerCommand& command);
    void commandCompleted(const WorkerCommand& command, const WorkerCommandResult& result, const CommandPermissions& permissions, const ShardReducer& reducer, TimePoint now);

    // Ends attempts on workers that do not answer once their leases must have
    // lapsed. Commands of earlier owners cannot keep one running beyond inheritedUntil.
    void checkLeaseExpiry(const ShardReducer& reducer, TimePoint inheritedUntil, TimePoint now);

    // Asks for a checkpoint and a stop. Does nothing for an attempt that is unknown or being stopped.
    void evict(const AttemptId& id, const std::string& reason);
    void checkpoint(const AttemptId& id);
    void throttle(const AttemptId& id, std::uint32_t percent);

    bool hasCommandsInFlight() const { return m_commandsInFlight > 0; }
    const std::map<std::string, WorkerTracker>& workers() const { return m_workers; }
    const std::map<AttemptId, AttemptTracker>& attempts() const { return m_attempts; }
    // Attempts that are proved over, or whose checkpoint grew, and whose record is not read yet.
    const std::set<AttemptId>& endedAttempts() const { return m_endedAttempts; }
    const std::set<AttemptId>& checkpointed() const { return m_checkpointed; }
    // Whether every listed worker was described under this epoch.
    bool areAllDescribed() const;

private:
    // Tests tell states apart through it.
    friend class StateDigest;

    using Attempts = std::map<AttemptId, AttemptTracker>;

    AttemptTracker* find(const AttemptId& id);
    void markEnded(const AttemptId& id, AttemptTracker& attempt, AttemptEndProof proof);
    WorkerCommand makeCommand(WorkerCommandKind kind, WorkerTracker& worker, const CommandPermissions& permissions);
    std::optional<WorkerCommand> attemptCommand(WorkerTracker& worker, const TaskEntry& entry, const CommandPermissions& permissions, const ShardReducer& reducer);
    WorkerCommand stopCommand(WorkerTracker& worker, const AttemptId& id, const CommandPermissions& permissions);
    std::optional<WorkerCommand> renewCommand(WorkerTracker& worker, const CommandPermissions& permissions, const ShardReducer& reducer);

    void handleNoResponse(const WorkerCommand& command, WorkerTracker& worker, TimePoint now);
    void handleDescription(WorkerTracker& worker, const WorkerDescription& description, const ShardReducer& reducer, TimePoint now);
    void handleRenewal(WorkerTracker& worker, const WorkerCommandResult& result, const ShardReducer& reducer, TimePoint now);
    void handleStart(const AttemptId& id, const WorkerCommandResult& result, TimePoint now);
    void handleStop(WorkerTracker& worker, const AttemptId& id, const WorkerCommandResult& result, TimePoint now);
    void handleThrottle(const WorkerCommand& command, const WorkerCommandResult& result, TimePoint now);
    void handleCheckpoint(const AttemptId& id, const WorkerCommandResult& result, TimePoint now);
    void handleReport(const AttemptReport& report, TimePoint now);
    void checkIncarnation(WorkerTracker& worker, const std::string& incarnation, const ShardReducer& reducer);
    void requestTombstoneStop(AttemptTracker& attempt, const std::string& reason);

    SchedulingTimes m_times;
    StrategySet m_strategies;
    bool m_isActive = false;
    bool m_isInheriting = false;
    std::size_t m_commandsInFlight = 0;
    std::map<std::string, WorkerTracker> m_workers;
    Attempts m_attempts;
    std::set<AttemptId> m_endedAttempts;
    std::set<AttemptId> m_checkpointed;
};

} // namespace plantainhold
