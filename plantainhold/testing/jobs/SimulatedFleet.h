// The executors of a JobSimulation: which of them are up, at which address each can be called, and
// what their list shows. The list is a log, as in the platform's store; it may lag, and it may be
// wrong for a while.
#pragma once

#include "plantainhold/testing/jobs/FakeExecutor.h"
#include "plantainhold/testing/jobs/RunHistory.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace plantainhold {

class SimulatedJobs;
class SimulationContext;

class SimulatedFleet {
public:
    struct ListRecord {
        std::string id;
        // Unset if the entry was removed.
        std::optional<ExecutorEntry> entry;
        // The entry names the address of another executor.
        bool isMisnamed = false;
    };

    // Capacity of each executor when a simulation begins.
    static constexpr Resources s_capacity { 8'000, 16'000, 0 };

    // No method of this class is thread-safe.
    SimulatedFleet(SimulationContext& context, RunHistory& history);

    // Advances the executors to the present step, and restarts those that are due.
    void advance();
    // Begins new faults at random.
    void addFaults();
    // A third of the executors or more crash at this moment; most of them are soon up again.
    void loseGroup();
    // Half of the executors restart under their ids, and cannot be reached from `cutAt` on for `cutMs`.
    void restartHalf(std::int64_t cutAt, std::int64_t cutMs);

    // Returns the executor that is up at the address; nullptr if there is none.
    FakeExecutor* at(std::string_view address);
    // True if calls to the address, and their responses, are lost on the way.
    bool isCutOff(std::string_view address) const;
    // Returns whether the executor with this id is up on one of the slots that the job is allowed on.
    bool isAllowed(const std::string& job, std::string_view id, const SimulatedJobs& jobs) const;
    // Returns the room of each executor that is up and can be reached.
    std::vector<RunHistory::Room> rooms() const;
    // All records so far, in the order in which they were written.
    const std::vector<ListRecord>& list() const { return m_list; }

private:
    // A capacity that an executor had, and when its entry showed the next one.
    struct FormerCapacity {
        Resources capacity;
        std::int64_t listedUntil = 0;
    };

    // A place for one process at a time.
    struct Slot {
        std::unique_ptr<FakeExecutor> executor;
        std::int64_t cutOffUntil = 0;
        // When the next incarnation starts; -1: none is due.
        std::int64_t downUntil = -1;
        // The executor is cut off when its next run has started.
        bool isIsolatedAtStart = false;
        std::vector<FormerCapacity> formerCapacities;
    };

    std::size_t randomSlot();
    void runStarted(std::size_t slot, const FakeExecutor::Running& run);
    void crash(std::size_t slot, std::int64_t downMs);
    // The slot's executor, which has crashed, does not return.
    void remove(std::size_t slot);
    void restart(std::size_t slot);
    FakeExecutor::Incarnation nextIncarnation(const FakeExecutor::Incarnation& former);
    // Returns what a restarting executor shows as its start time; it differs from all before.
    std::int64_t nextStartTime(std::int64_t former);
    bool isTaken(std::string_view address) const;
    std::string chooseAddress();

    void cutOff(std::size_t slot, std::int64_t ms);
    void isolateSoon(std::size_t slot);
    void misnameAddress();
    void hideEntry();
    void misnameStartTime();
    void changeCapacity(std::size_t slot);
    // Checks that what runs there fits in what an owner may take for the capacity. Call after each start.
    void checkCapacity(std::size_t slot);
    void announce(std::size_t slot, const ExecutorEntry& former);
    void unlistUnlessRestarted(const std::string& id);
    void publish(const ExecutorEntry& entry, bool isMisnamed = false);
    void unlist(const std::string& id);
    // Publishes the entry that the slot's executor has at that time, if it is up then.
    void publishLater(std::size_t slot, std::int64_t when);

    SimulationContext& m_context;
    RunHistory& m_history;
    std::vector<Slot> m_slots;
    std::vector<std::string> m_addresses;
    std::vector<ListRecord> m_list;
    // Start times of all incarnations so far.
    std::set<std::int64_t> m_startTimes;
    std::size_t m_nextId = 0;
    // Number of slots that stay empty.
    std::size_t m_gone = 0;
};

} // namespace plantainhold
