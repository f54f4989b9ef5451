// WorkerDriver decides which command each worker of an owned shard gets next, and
// determines from the results whether attempts run or have ended. It does no I/O.
// Each worker has at most one command in flight, so that its commands cannot be
// reordered. An attempt is considered ended only on proof: the worker's report, a
// confirmed stop, or a lease that must have expired.
// Not thread-safe.
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

// The commands that the shard's lease permits at this moment.
struct CommandPermissions {
    std::uint64_t epoch = 0;
    bool mayCommand = false;
    bool mayRenew = false;
};

class WorkerDriver {
public:
    WorkerDriver(const SchedulingTimes& times, const StrategySet& strategies);

    // Reports that this instance has become the owner of the shard.
    void beginEpoch(const ShardReducer& reducer);
    // Reports that this instance no longer owns the shard.
    void endEpoch();
    // Reports that a record about the task was read. Does nothing unless beginEpoch()
    // was called.
    void taskChanged(const std::string& task, const ShardReducer& reducer);
    // Replaces the list of the shard's workers, which the platform supplies.
    void setWorkerList(std::span<const Instance> workers, const ShardReducer& reducer);

    // Returns the next command for the worker if one is due. The worker is then busy
    // until commandCompleted() or commandDropped() is called.
    std::optional<WorkerCommand> nextCommand(const std::string& worker, const CommandPermissions& permissions, const ShardReducer& reducer, TimePoint now);
    // Reports that the command was not sent.
    void commandDropped(const WorkerCommand& command);
    // Reports the result of the command, or that there was no response.
    void commandCompleted(const WorkerCommand& command, const WorkerCommandResult& result, const CommandPermissions& permissions, const ShardReducer& reducer, TimePoint now);

    // Marks attempts on unresponsive workers as ended once their leases must have
    // expired. Commands of earlier owners can keep no attempt running beyond
    // inheritedUntil.
    void checkLeaseExpiry(const ShardReducer& reducer, TimePoint inheritedUntil, TimePoint now);

    // Requests a checkpoint and then a stop. Does nothing for an attempt that is
    // unknown or already being stopped.
    void evict(const AttemptId& id, const std::string& reason);
    void checkpoint(const AttemptId& id);
    void throttle(const AttemptId& id, std::uint32_t percent);

    bool hasCommandsInFlight() const { return m_commandsInFlight > 0; }
    const std::map<std::string, WorkerTracker>& workers() const { return m_workers; }
    const std::map<AttemptId, AttemptTracker>& attempts() const { return m_attempts; }
    // Attempts that are proved to have ended, and attempts whose checkpoint has
    // advanced, as long as the record of this was not read yet.
    const std::set<AttemptId>& endedAttempts() const { return m_endedAttempts; }
    const std::set<AttemptId>& checkpointed() const { return m_checkpointed; }
    // Whether every listed worker has been described under this epoch.
    bool areAllDescribed() const;

private:
    // Lets tests serialize the private state.
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
