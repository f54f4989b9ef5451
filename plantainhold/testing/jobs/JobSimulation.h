// Simulates executors, a store and owners around JobScheduler, without a network: messages are
// delayed or lost, executors crash or are cut off, and owners die, pause and are replaced. All
// randomness derives from the seed. At each step, what the fake executors really ran is checked
// against the guarantees given to users.
#pragma once

#include "plantainhold/jobs/JobScheduler.h"
#include "plantainhold/jobs/JobTable.h"
#include "plantainhold/testing/jobs/FakeExecutor.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace plantainhold {

struct SimulationOptions {
    std::uint64_t seed = 1;
    std::size_t executors = 5;
    std::size_t jobs = 14;
    std::int64_t faultsMs = 25'000;
    std::int64_t lengthMs = 70'000;
    SchedulerLimits limits;
    // Fraction of commands whose response is lost; half of these are carried out late.
    double lostResponses = 0.05;
    // Each disables one safeguard, to show that the checks detect its absence.
    bool sendsBeforeStored = false;
    bool acknowledgesBeforeStored = false;
    bool ignoresFencing = false;
    bool sendsStopsOnlyOnce = false;
};

class JobSimulation {
public:
    explicit JobSimulation(const SimulationOptions& options);
    ~JobSimulation();

    // Runs the simulation to its end; violations() is complete afterwards. No method of this class
    // is thread-safe.
    void run();
    const std::vector<std::string>& violations() const { return m_violations; }
    std::size_t completedJobs() const;
    std::uint64_t starts() const { return m_starts; }

private:
    struct Owner;
    struct Message;
    struct TaskHistory;

    TimePoint at(std::int64_t ms) const { return TimePoint(std::chrono::milliseconds(1'000'000 + ms)); }
    std::int64_t random(std::int64_t least, std::int64_t most);
    bool chance(double probability);
    void addJobs();
    void submit(const std::string& id, const JobSpec& spec);
    void step();
    void faults();
    // Notes that something is out of order until then, so that bounds on time do not hold.
    void disturb(std::int64_t until) { m_disturbedUntil = std::max(m_disturbedUntil, until); }
    // Checks that no run of a cancelled job goes on in a calm stretch.
    void checkCancelledRuns();
    void startOwner();
    void runOwner(Owner& owner);
    void commit(Owner& owner);
    void sendCommands(Owner& owner);
    void sendReports(Owner& owner);
    void deliver(const Message& message);
    // Passes an event to the owner, after its pause if it is paused; never if its term has ended.
    void notify(Owner& owner, std::function<void(JobScheduler&)> what);
    void store(const CommitBatch& batch);
    void noteStart(std::size_t executor, const FakeExecutor::Running& run);
    void noteEnd(const FakeExecutor::Running& run, EndKind kind);
    void fail(const std::string& what);

    const SimulationOptions m_options;
    std::mt19937_64 m_random;
    std::int64_t m_now = 0;
    NullEventSink m_events;
    JobTable m_table;
    std::shared_ptr<FleetConfig> m_config;
    std::string m_ownerRecord;
    std::vector<std::unique_ptr<FakeExecutor>> m_executors;
    std::vector<std::int64_t> m_unreachableUntil;
    std::vector<std::int64_t> m_downUntil;
    std::vector<std::unique_ptr<Owner>> m_owners;
    std::uint64_t m_generation = 0;
    std::multimap<std::int64_t, Message> m_messages;
    std::multimap<std::int64_t, std::function<void()>> m_deferredEvents;
    std::map<std::string, TaskHistory> m_history;
    std::map<std::string, std::int64_t> m_submitAt;
    std::map<std::string, std::int64_t> m_cancelAt;
    std::map<std::string, JobSpec> m_specs;
    std::uint64_t m_offset = 0;
    std::uint64_t m_starts = 0;
    std::int64_t m_disturbedUntil = 0;
    // Names of runs for which a stop was sent.
    std::set<std::string> m_stopped;
    std::vector<std::string> m_violations;
};

} // namespace plantainhold
