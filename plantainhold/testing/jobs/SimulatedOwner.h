// One term of ownership in a JobSimulation: a JobScheduler, and the calls and writes that carry out
// its decisions, with delays, losses and standstills. All calls to the scheduler are made here. The
// process may go on for a while after the next term has begun.
#pragma once

#include "plantainhold/jobs/ExecutorCommand.h"
#include "plantainhold/jobs/ExecutorReport.h"
#include "plantainhold/jobs/JobScheduler.h"
#include "plantainhold/store/StorePort.h"
#include "plantainhold/testing/jobs/EvidenceFilter.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace plantainhold {

class FakeExecutor;
class SimulatedFleet;
class SimulatedJobs;
class SimulatedOperator;
class SimulatedStore;
class SimulationContext;

class SimulatedOwner {
public:
    // The world of an owner; all must outlive it.
    struct World {
        SimulationContext& context;
        const SimulatedJobs& jobs;
        SimulatedFleet& fleet;
        SimulatedStore& store;
        SimulatedOperator& operators;
        // Names of runs for which any owner has sent a stop.
        std::set<std::string>& sentStops;
    };

    // Claims the store and reads its records. No method of this class is thread-safe.
    SimulatedOwner(const World& world, std::shared_ptr<const FleetConfig> config);
    ~SimulatedOwner();

    // Passes on a configuration, unless the owner stands still: it learns of it at its next round then.
    // Returns what the owner's scheduler keeps.
    KeptState kept() const { return m_scheduler->kept(); }
    void configure(std::shared_ptr<const FleetConfig> config);
    // Runs a round unless the owner stands still or has ended. Call in each step.
    void run();
    // True if no other owner is needed.
    bool isOwner() const;

    void die() { m_hasEnded = true; }
    void pause(std::int64_t ms);
    // Its membership ends within that time, and is not renewed.
    void loseMembership(std::int64_t withinMs);
    // Sees no changes of the list of executors for that time.
    void lagBehindList(std::int64_t ms);
    // Ends the term once the write in progress, if any, is stored.
    void release();

private:
    struct Call;

    void readNewestEntries();
    void readList();
    void readEvacuations();
    bool hasHeard(const std::string& executor) const;
    void readJobs();
    bool renewMembership();
    bool isStandingStill() const;
    // Stands still from now on with some probability, which is the standstill fraction times `weight`.
    void maybeStandStill(double weight);
    std::int64_t storeDelay();
    // Stores the record that begins the term; no batch is stored before.
    void beginTerm();
    void commit();
    // What is left to store of a batch.
    struct Write;
    // Makes the next append of the batch. The owner may end between two of them.
    void append(const std::shared_ptr<Write>& write);
    // Appends records; one by one if the store refuses them together. Returns false if the generation has ended.
    bool appendAll(std::span<const KeyedRecord> records, std::vector<std::string>& refused);
    void stored(const std::shared_ptr<Write>& write);
    void finishRelease();
    // Passes the advice requests on to the service, which answers one after the other.
    void requestAdvice();
    void sendCommands();
    bool sendCommand(const ExecutorCommand& command);
    void sendReports();
    void sendUrgentReport(const std::string& executor);
    bool sendReport(const std::string& executor, bool isUrgent);
    void updateAddresses();

    void traceCall(std::string_view what, const Call& call, CommandResult outcome);
    void send(std::shared_ptr<Call> call);
    void connect(const std::shared_ptr<Call>& call);
    void deliver(const std::shared_ptr<Call>& call);
    CommandResult carryOut(const Call& call, FakeExecutor& executor);
    void waitForEnd(const std::shared_ptr<Call>& call, std::int64_t startedUnixMs, std::int64_t until);
    void respond(const std::shared_ptr<Call>& call, CommandResult outcome, ExecutorReport report);
    void finish(const std::shared_ptr<Call>& call, CommandResult outcome, const ExecutorReport& report);
    // Passes an event to the owner, after its standstill if it stands still; never if its term has ended.
    void notify(std::function<void()> what);
    void readInbox();

    const World m_world;
    SimulationContext& m_context;
    const DisabledSafeguards m_disabled;
    const EvidenceFilter m_evidence;
    std::uint64_t m_generation = 0;
    std::unique_ptr<JobScheduler> m_scheduler;
    // The owner believes its membership to be valid until then.
    std::int64_t m_confirmedUntil = 0;
    std::int64_t m_extendsUntil = 0;
    std::int64_t m_pausedUntil = 0;
    bool m_hasEnded = false;
    bool m_isReleasing = false;
    bool m_isCommitting = false;
    std::size_t m_listPosition = 0;
    std::int64_t m_listLagsUntil = 0;
    std::int64_t m_listReadAt = 0;
    EvacuationTable m_evacuations;
    std::size_t m_evacuationPosition = 0;
    std::map<std::string, std::string> m_addresses;
    std::map<std::string, std::int64_t> m_nextReport;
    std::set<std::string> m_reporting;
    std::set<std::string> m_urgentlyReporting;
    std::vector<ExecutorCommand> m_commands;
    // When the advice service has answered all calls so far.
    std::int64_t m_adviceUntil = 0;
    // Events that arrived during a standstill.
    std::vector<std::function<void()>> m_inbox;
};

} // namespace plantainhold
