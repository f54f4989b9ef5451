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
struct CommandRights {
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
    void listWorkers(std::span<const Instance> workers, const ShardReducer& reducer);

    // The next command, if one is due; the worker is busy until answered() or dropped().
    std::optional<WorkerCommand> nextCommand(const std::string& worker, const CommandRights& rights, const ShardReducer& reducer, TimePoint now);
    // The command was not sent after all.
    void dropped(const WorkerCommand& command);
    void answered(const WorkerCommand& command, const WorkerAnswer& answer, const CommandRights& rights, const ShardReducer& reducer, TimePoint now);

    // Ends attempts on workers that do not answer once their leases must have
    // lapsed. Commands of earlier owners cannot keep one running beyond inheritedUntil.
    void checkLapses(const ShardReducer& reducer, TimePoint inheritedUntil, TimePoint now);

    // Asks for a checkpoint and a stop. Does nothing for an attempt that is unknown or being stopped.
    void evict(const AttemptId& id, const std::string& reason);
    void checkpoint(const AttemptId& id);
    void throttle(const AttemptId& id, std::uint32_t percent);

    bool hasCommandsInFlight() const { return m_commandsInFlight > 0; }
    const std::map<std::string, WorkerTracker>& workers() const { return m_workers; }
    const std::map<AttemptId, AttemptTracker>& attempts() const { return m_attempts; }
    // Attempts that are proved over, or whose checkpoint grew, and whose record is not read yet.
    const std::set<AttemptId>& proved() const { return m_proved; }
    const std::set<AttemptId>& checkpointed() const { return m_checkpointed; }
    // Whether every listed worker was described under this epoch.
    bool areAllKnown() const;

private:
    // Tests tell states apart through it.
    friend class StateDigest;

    using Attempts = std::map<AttemptId, AttemptTracker>;

    AttemptTracker* find(const AttemptId& id);
    void prove(const AttemptId& id, AttemptTracker& attempt, AttemptProof proof);
    WorkerCommand make(WorkerCommandKind kind, WorkerTracker& worker, const CommandRights& rights);
    std::optional<WorkerCommand> attemptCommand(WorkerTracker& worker, const TaskEntry& entry, const CommandRights& rights, const ShardReducer& reducer);
    WorkerCommand stopCommand(WorkerTracker& worker, const AttemptId& id, const CommandRights& rights);
    std::optional<WorkerCommand> renewCommand(WorkerTracker& worker, const CommandRights& rights, const ShardReducer& reducer);

    void unanswered(const WorkerCommand& command, WorkerTracker& worker, TimePoint now);
    void takeDescription(WorkerTracker& worker, const WorkerDescription& description, const ShardReducer& reducer, TimePoint now);
    void takeRenewal(WorkerTracker& worker, const WorkerAnswer& answer, const ShardReducer& reducer, TimePoint now);
    void takeStart(const AttemptId& id, const WorkerAnswer& answer, TimePoint now);
    void takeStop(WorkerTracker& worker, const AttemptId& id, const WorkerAnswer& answer, TimePoint now);
    void takeThrottle(const WorkerCommand& command, const WorkerAnswer& answer, TimePoint now);
    void takeCheckpoint(const AttemptId& id, const WorkerAnswer& answer, TimePoint now);
    void takeReport(const AttemptReport& report, TimePoint now);
    void checkIncarnation(WorkerTracker& worker, const std::string& incarnation, const ShardReducer& reducer);
    void entomb(AttemptTracker& attempt, const std::string& reason);

    SchedulingTimes m_times;
    StrategySet m_strategies;
    bool m_isActive = false;
    bool m_isInheriting = false;
    std::size_t m_commandsInFlight = 0;
    std::map<std::string, WorkerTracker> m_workers;
    Attempts m_attempts;
    std::set<AttemptId> m_proved;
    std::set<AttemptId> m_checkpointed;
};

} // namespace plantainhold
