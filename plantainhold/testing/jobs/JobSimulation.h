// Simulates executors, a store and owners around JobScheduler, without a network: messages are
// delayed, lost or overtake each other, executors crash, restart, move or are cut off, and owners
// die, pause and are replaced. All randomness derives from the seed. At each step, what the fake
// executors really ran is checked against the guarantees given to users.
#pragma once

#include "plantainhold/testing/jobs/RunHistory.h"
#include "plantainhold/testing/jobs/SimulatedFleet.h"
#include "plantainhold/testing/jobs/SimulatedJobs.h"
#include "plantainhold/testing/jobs/SimulatedOperator.h"
#include "plantainhold/testing/jobs/SimulatedStore.h"
#include "plantainhold/testing/jobs/SimulationContext.h"
#include "plantainhold/testing/jobs/SimulationOptions.h"

#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace plantainhold {

class SimulatedOwner;
class FleetConfig;

class JobSimulation {
public:
    explicit JobSimulation(const SimulationOptions& options);
    ~JobSimulation();

    // Runs the simulation to its end; violations() is complete afterwards. No method of this class
    // is thread-safe.
    void run();
    const std::vector<std::string>& violations() const { return m_history.violations(); }
    // Returns what happened, one event a line; empty unless the options ask for it.
    const std::string& trace() const { return m_context.trace().text(); }
    std::uint64_t starts() const { return m_history.starts(); }

private:
    void step();
    bool takes(const KeyedRecord& record) const;
    void addFaults();
    void changeConfig();
    // Schedules a few losses of many executors, which begin now.
    void beginGroupLosses();
    void loseGroup();
    void loseOwner();
    void beginRestartSeries();
    void addOwnerFaults(SimulatedOwner& owner);
    void startOwner();

    SimulationContext m_context;
    SimulatedJobs m_jobs;
    RunHistory m_history;
    SimulatedFleet m_fleet;
    SimulatedStore m_store;
    SimulatedOperator m_operator;
    std::shared_ptr<const FleetConfig> m_config;
    std::vector<std::unique_ptr<SimulatedOwner>> m_owners;
    std::set<std::string> m_sentStops;
};

} // namespace plantainhold
