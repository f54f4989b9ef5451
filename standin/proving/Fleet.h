// All processes of one run, and the switches and faults that act on them.
#pragma once

#include "standin/FaultProxy.h"
#include "standin/proving/ProcessTable.h"
#include "standin/proving/Scenario.h"
#include "standin/proving/Subnet.h"
#include "standin/proving/Topology.h"

#include <filesystem>
#include <string>
#include <vector>

namespace plantainhold::standin {

struct RunOptions {
    // The folder of the programs.
    std::filesystem::path bin;
    // Where the run keeps its files; exists.
    std::filesystem::path folder;
    // The strategies that the daemons lack, with blanks between; empty runs the product.
    std::string control;
    std::uint64_t seed = 1;
};

// Used by one thread, which must outlive the processes.
class Fleet {
public:
    // Lays the topology out and writes all files; starts nothing.
    Fleet(const Scenario& scenario, RunOptions options);

    // Starts everything that does not run yet and waits until the stand-ins listen
    // and the entry instances answer. Throws ScenarioError when one does not.
    void startAll();

    // Each throws ScenarioError when there is no process of this name.
    void start(const std::string& name);
    void kill(const std::string& name);
    void pause(const std::string& name);
    void resume(const std::string& name);
    void terminate(const std::string& name);

    // Sets a switch of "log", "instances", a process of workers, "executors" or one
    // executor. Throws ScenarioError when that fails.
    void setSwitch(const std::string& name, const std::string& switchName, const std::string& value);

    // Waits until the named process listens. Throws ScenarioError after a while.
    void waitUntilListening(const std::string& name);

    const Topology& topology() const { return m_topology; }
    FaultProxy& proxy() { return m_proxy; }
    ProcessTable& processes() { return m_processes; }
    bool isPaused(const std::string& name) const;
    // Names of all processes, stand-ins first.
    std::vector<std::string> names() const;
    std::vector<std::filesystem::path> journals() const;

private:
    struct Launch {
        std::string name;
        std::vector<std::string> command;
        // Where the process listens once it serves.
        std::string address;
        // Where its switches are; empty for daemons.
        std::string switchAddress;
    };

    const Launch& find(const std::string& name) const;
    std::string program(const std::string& name) const;
    std::string journal(const std::string& name) const;
    void planPlatform(const Scenario& scenario);
    void planWorkers();
    void planExecutors();
    void planEntries();
    void journalLostWorkers(const std::string& process);

    const RunOptions m_options;
    Subnet m_subnet;
    FaultProxy m_proxy;
    Topology m_topology;
    std::vector<Launch> m_launches;
    std::vector<std::string> m_paused;
    ProcessTable m_processes;
};

} // namespace plantainhold::standin
