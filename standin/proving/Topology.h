// Who is where in one run: names, addresses and links of everything that a
// scenario asks for, and the files that the processes read.
#pragma once

#include "standin/proving/Scenario.h"

#include <filesystem>
#include <string>
#include <vector>

namespace plantainhold::standin {

class FaultProxy;
class Subnet;

struct EntrySite {
    std::string name;
    std::string dataCentre;
    std::string callerAddress;
    std::string controlAddress;
    std::string metricsAddress;
    // Where callers of a run connect: the caller address or a link to it.
    std::string callerLink;
    // Where this entry instance finds the platform, perhaps through links.
    std::string logAddress;
    std::string instancesAddress;
};

struct WorkerSite {
    std::string name;
    std::string dataCentre;
    std::string process;
    std::string address;
    WorkerGroup group;
};

struct ExecutorSite {
    std::string name;
    std::string dataCentre;
    std::string service;
    std::string address;
    std::string controlAddress;
    int slots = 0;
};

class Topology {
public:
    // Names and places everything. With proxied links, each is opened on the proxy.
    // Throws ScenarioError when there is no room for it.
    Topology(const Scenario& scenario, const Subnet& subnet, FaultProxy& proxy);

    // Writes the settings of each entry instance, the instance list, and each
    // entry instance's view of it. Throws std::runtime_error.
    void writeFiles(const std::filesystem::path& folder) const;

    const std::vector<EntrySite>& entries() const { return m_entries; }
    const std::vector<WorkerSite>& workers() const { return m_workers; }
    const std::vector<ExecutorSite>& executors() const { return m_executors; }
    // The processes that hold workers, one a data centre, with their addresses.
    struct WorkerProcess {
        std::string name;
        std::string address;
    };
    const std::vector<WorkerProcess>& workerProcesses() const { return m_workerProcesses; }

    const std::string& logAddress() const { return m_logAddress; }
    const std::string& instancesAddress() const { return m_instancesAddress; }

    // Nothing when no entry instance has this name.
    const EntrySite* findEntry(std::string_view name) const;
    const ExecutorSite* findExecutor(std::string_view name) const;

private:
    void placeEntries(const Scenario& scenario, const Subnet& subnet);
    void placeWorkers(const Scenario& scenario, const Subnet& subnet);
    void placeExecutors(const Scenario& scenario, const Subnet& subnet);
    void openLinks(const Scenario& scenario, const Subnet& subnet, FaultProxy& proxy);
    void openInstanceLinks(std::size_t entry, const Scenario& scenario, FaultProxy& proxy);
    void writeSettings(const EntrySite& entry, const std::filesystem::path& folder) const;

    // How one entry instance sees another instance's address.
    struct SeenAddress {
        std::string instance;
        std::string address;
    };

    std::vector<EntrySite> m_entries;
    std::vector<WorkerSite> m_workers;
    std::vector<ExecutorSite> m_executors;
    std::vector<WorkerProcess> m_workerProcesses;
    std::vector<SettingLine> m_settings;
    // One list an entry instance.
    std::vector<std::vector<SeenAddress>> m_seen;
    std::string m_logAddress;
    std::string m_instancesAddress;
};

} // namespace plantainhold::standin
