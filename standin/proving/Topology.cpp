// Hosts of the subnet: 2 log, 3 instance list, 4 its views, from 10 entry
// instances, from 80 workers, from 100 executors, 250 the fault proxy.

#include "standin/proving/Topology.h"

#include "standin/FaultProxy.h"
#include "standin/proving/Subnet.h"

#include <algorithm>
#include <fstream>
#include <map>

namespace plantainhold::standin {

namespace {

    constexpr int s_logHost = 2;
    constexpr int s_instancesHost = 3;
    constexpr int s_viewHost = 4;
    constexpr int s_firstEntryHost = 10;
    constexpr int s_entryHosts = 70;
    constexpr int s_firstWorkerHost = 80;
    constexpr int s_workerHosts = 20;
    constexpr int s_firstExecutorHost = 100;
    constexpr int s_executorHosts = 140;
    constexpr int s_firstViewPort = 7300;

    std::string at(const std::string& ip, int port)
    {
        return ip + ":" + std::to_string(port);
    }

    bool isProxied(const Scenario& scenario, std::string_view kind)
    {
        return std::find(scenario.proxied.begin(), scenario.proxied.end(), kind) != scenario.proxied.end();
    }

    std::string numbered(const std::string& prefix, int number)
    {
        return prefix + "-" + std::to_string(number);
    }

    // Numbers and booleans as they are, all else as a TOML string.
    std::string tomlValue(const std::string& value)
    {
        bool isNumber = !value.empty() && std::all_of(value.begin(), value.end(), [](unsigned char c) { return std::isdigit(c) != 0; });
        if (isNumber || value == "true" || value == "false" || value.starts_with('['))
            return value;
        return "\"" + value + "\"";
    }

    std::ofstream openFile(const std::filesystem::path& path)
    {
        std::ofstream file(path);
        if (!file)
            throw std::runtime_error("cannot write " + path.string());
        return file;
    }

} // namespace

Topology::Topology(const Scenario& scenario, const Subnet& subnet, FaultProxy& proxy)
    : m_settings(scenario.settings)
    , m_logAddress(at(subnet.ip(s_logHost), 7000))
    , m_instancesAddress(at(subnet.ip(s_instancesHost), 7001))
{
    placeEntries(scenario, subnet);
    placeWorkers(scenario, subnet);
    placeExecutors(scenario, subnet);
    openLinks(scenario, subnet, proxy);
}

void Topology::placeEntries(const Scenario& scenario, const Subnet& subnet)
{
    std::map<std::string, int> counts;
    for (const EntryGroup& group : scenario.entries) {
        for (int i = 0; i < group.count; ++i) {
            if (m_entries.size() >= s_entryHosts)
                throw ScenarioError("too many entry instances");
            std::string ip = subnet.ip(s_firstEntryHost + static_cast<int>(m_entries.size()));
            EntrySite site;
            site.name = numbered("entry-" + group.dataCentre, ++counts[group.dataCentre]);
            site.dataCentre = group.dataCentre;
            site.callerAddress = at(ip, 7080);
            site.controlAddress = at(ip, 7081);
            site.metricsAddress = at(ip, 7082);
            site.callerLink = site.callerAddress;
            site.logAddress = m_logAddress;
            site.instancesAddress = m_instancesAddress;
            m_entries.push_back(std::move(site));
        }
    }
}

void Topology::placeWorkers(const Scenario& scenario, const Subnet& subnet)
{
    std::map<std::string, int> counts;
    for (const WorkerGroup& group : scenario.workers) {
        std::string process = "workers-" + group.dataCentre;
        auto it = std::find_if(m_workerProcesses.begin(), m_workerProcesses.end(), [&](const WorkerProcess& known) { return known.name == process; });
        if (it == m_workerProcesses.end()) {
            if (m_workerProcesses.size() >= s_workerHosts)
                throw ScenarioError("too many data centres with workers");
            m_workerProcesses.push_back({ process, at(subnet.ip(s_firstWorkerHost + static_cast<int>(m_workerProcesses.size())), 7100) });
            it = m_workerProcesses.end() - 1;
        }
        for (int i = 0; i < group.count; ++i)
            m_workers.push_back({ numbered("worker-" + group.dataCentre, ++counts[group.dataCentre]), group.dataCentre, process, it->address, group });
    }
}

void Topology::placeExecutors(const Scenario& scenario, const Subnet& subnet)
{
    std::map<std::string, int> counts;
    for (const ExecutorGroup& group : scenario.executors) {
        for (int i = 0; i < group.count; ++i) {
            int number = static_cast<int>(m_executors.size());
            std::string ip = subnet.ip(s_firstExecutorHost + number % s_executorHosts);
            std::string name = "executor-" + group.dataCentre + "-" + group.service;
            int ordinal = ++counts[name];
            m_executors.push_back({ numbered(name, ordinal), group.dataCentre, group.service, at(ip, 8080 + number / s_executorHosts), at(ip, 7200 + number / s_executorHosts), group.slots });
        }
    }
}

void Topology::openLinks(const Scenario& scenario, const Subnet& subnet, FaultProxy& proxy)
{
    m_seen.resize(m_entries.size());
    for (std::size_t i = 0; i < m_entries.size(); ++i) {
        EntrySite& entry = m_entries[i];
        openInstanceLinks(i, scenario, proxy);
        if (isProxied(scenario, "log"))
            entry.logAddress = proxy.addLink(entry.name + ">log", m_logAddress);
        // A view of its own shows this instance the links to the others.
        if (!m_seen[i].empty())
            entry.instancesAddress = at(subnet.ip(s_viewHost), s_firstViewPort + static_cast<int>(i));
        if (isProxied(scenario, "instances"))
            entry.instancesAddress = proxy.addLink(entry.name + ">instances", entry.instancesAddress);
        if (isProxied(scenario, "callers"))
            entry.callerLink = proxy.addLink("caller>" + entry.name, entry.callerAddress);
    }
}

void Topology::openInstanceLinks(std::size_t entry, const Scenario& scenario, FaultProxy& proxy)
{
    const std::string& name = m_entries[entry].name;
    auto open = [&](const std::string& other, const std::string& address) {
        m_seen[entry].push_back({ other, proxy.addLink(name + ">" + other, address) });
    };
    if (isProxied(scenario, "peers")) {
        for (const EntrySite& it : m_entries) {
            if (it.name != name)
                open(it.name, it.controlAddress);
        }
    }
    if (isProxied(scenario, "workers")) {
        for (const WorkerSite& it : m_workers)
            open(it.name, it.address);
    }
    if (isProxied(scenario, "executors")) {
        for (const ExecutorSite& it : m_executors)
            open(it.name, it.address);
    }
}

void Topology::writeFiles(const std::filesystem::path& folder) const
{
    std::ofstream list = openFile(folder / "instances");
    for (const EntrySite& it : m_entries)
        list << it.name << " entry " << it.controlAddress << ' ' << it.dataCentre << " - - 0\n";
    for (const WorkerSite& it : m_workers)
        list << it.name << " worker " << it.address << ' ' << it.dataCentre << ' ' << it.group.rack << " - 0\n";
    for (const ExecutorSite& it : m_executors)
        list << it.name << " executor " << it.address << ' ' << it.dataCentre << " - " << it.service << ' ' << it.slots << '\n';
    std::ofstream views = openFile(folder / "views");
    for (std::size_t i = 0; i < m_entries.size(); ++i) {
        writeSettings(m_entries[i], folder);
        for (const SeenAddress& it : m_seen[i])
            views << s_firstViewPort + static_cast<int>(i) << ' ' << it.instance << ' ' << it.address << '\n';
    }
}

void Topology::writeSettings(const EntrySite& entry, const std::filesystem::path& folder) const
{
    std::map<std::string, std::map<std::string, std::string>> sections;
    sections["instance"] = { { "id", entry.name }, { "data_centre", entry.dataCentre }, { "caller_address", entry.callerAddress }, { "control_address", entry.controlAddress }, { "metrics_address", entry.metricsAddress } };
    sections["platform"] = { { "log_address", entry.logAddress }, { "instances_address", entry.instancesAddress } };
    for (const SettingLine& it : m_settings)
        sections[it.section][it.key] = it.value;
    std::ofstream file = openFile(folder / (entry.name + ".toml"));
    for (const auto& [section, values] : sections) {
        file << '[' << section << "]\n";
        for (const auto& [key, value] : values)
            file << key << " = " << tomlValue(value) << '\n';
    }
}

const EntrySite* Topology::findEntry(std::string_view name) const
{
    auto it = std::find_if(m_entries.begin(), m_entries.end(), [&](const EntrySite& entry) { return entry.name == name; });
    return it == m_entries.end() ? nullptr : &*it;
}

const ExecutorSite* Topology::findExecutor(std::string_view name) const
{
    auto it = std::find_if(m_executors.begin(), m_executors.end(), [&](const ExecutorSite& executor) { return executor.name == name; });
    return it == m_executors.end() ? nullptr : &*it;
}

} // namespace plantainhold::standin
