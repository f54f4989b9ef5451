// A small installation of real daemons whose cost can be measured: processor time,
// memory, appends, and the bytes on each kind of link, seen by the fault proxy
// that stands in all of them.
#pragma once

#include "bench/CapacitySample.h"
#include "standin/proving/Fleet.h"

#include <atomic>
#include <chrono>
#include <memory>
#include <string>
#include <vector>

namespace plantainhold::bench {

struct RigShape {
    int dataCentres = 1;
    int entriesADataCentre = 2;
    int workersADataCentre = 4;
    int teams = 10;
};

// What goes on while a sample is taken.
struct RigLoad {
    // Tasks that run throughout.
    int runningTasks = 0;
    double startsASecond = 0;
    double changesASecond = 0;
    double claimsASecond = 0;
    double listChangesASecond = 0;
};

// Used by one thread, which must outlive it.
class CapacityRig {
public:
    // Starts everything and waits until the instances are ready. Throws
    // ScenarioError when that fails.
    CapacityRig(const std::string& bin, const RigShape& shape, unsigned seed);
    ~CapacityRig();

    // Puts the load on, lets it settle, and measures for this long.
    CapacitySample measure(const RigLoad& load, std::chrono::milliseconds settle, std::chrono::milliseconds window);

    // Replaces the first instance by a new process with an empty memory; the sample
    // holds what that instance alone exchanged until this time was over.
    CapacitySample measureRestart(std::chrono::milliseconds window);

private:
    struct Counters;
    class Load;

    void publishDocument(int number);
    void submitTasks(const std::string& prefix, int count, const std::string& command);
    Counters read();
    CapacitySample difference(const Counters& before, const Counters& after) const;

    const RigShape m_shape;
    const std::string m_folder;
    standin::Scenario m_scenario;
    std::unique_ptr<standin::Fleet> m_fleet;
    std::atomic<int> m_documents { 0 };
    int m_batches = 0;
};

} // namespace plantainhold::bench
