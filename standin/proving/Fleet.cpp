// Command lines of all processes, and their life.

#include "standin/proving/Fleet.h"

#include "plantainhold/util/NumericAddress.h"
#include "standin/Journal.h"
#include "standin/proving/DaemonClient.h"

#include <algorithm>
#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <csignal>
#include <sstream>
#include <thread>

namespace plantainhold::standin {

namespace {

    constexpr int s_proxyHost = 250;
    constexpr std::chrono::seconds s_listenLimit { 30 };
    constexpr std::chrono::milliseconds s_switchLimit { 5000 };
    constexpr std::chrono::milliseconds s_poll { 10 };

    bool isListening(const std::string& address)
    {
        namespace asio = boost::asio;
        asio::io_context io;
        asio::ip::tcp::socket socket(io);
        boost::system::error_code ec;
        socket.connect(endpointOf(address), ec);
        return !ec;
    }

} // namespace

Fleet::Fleet(const Scenario& scenario, RunOptions options)
    : m_options(std::move(options))
    , m_proxy(m_subnet.ip(s_proxyHost))
    , m_topology(scenario, m_subnet, m_proxy)
    , m_processes(m_options.folder)
{
    m_topology.writeFiles(m_options.folder);
    planPlatform(scenario);
    planWorkers();
    planExecutors();
    planEntries();
}

std::string Fleet::program(const std::string& name) const
{
    return (m_options.bin / name).string();
}

std::string Fleet::journal(const std::string& name) const
{
    return (m_options.folder / (name + ".journal")).string();
}

void Fleet::planPlatform(const Scenario& scenario)
{
    const std::string& log = m_topology.logAddress();
    m_launches.push_back({ "log",
        { program("standinLog"), "--address", log, "--journal", journal("log"), "--retention-ms", std::to_string(scenario.logRetentionMs), "--appends-per-second", std::to_string(scenario.logAppendsPerSecond) },
        log, log });
    const std::string& instances = m_topology.instancesAddress();
    std::string views = m_subnet.ip(4) + "=" + (m_options.folder / "views").string();
    m_launches.push_back({ "instances",
        { program("standinInstances"), "--address", instances, "--file", (m_options.folder / "instances").string(), "--views", views, "--lag-ms", std::to_string(scenario.instancesLagMs) },
        instances, instances });
}

void Fleet::planWorkers()
{
    for (const Topology::WorkerProcess& process : m_topology.workerProcesses()) {
        std::vector<std::string> command { program("standinWorkers"), "--address", process.address, "--journal", journal(process.name) };
        for (const WorkerSite& it : m_topology.workers()) {
            if (it.process != process.name)
                continue;
            command.push_back("--worker");
            command.push_back(it.name + ":" + std::to_string(it.group.millicores) + ":" + std::to_string(it.group.memoryMib) + ":" + std::to_string(it.group.accelerators) + ":" + it.group.rack);
        }
        m_launches.push_back({ process.name, std::move(command), process.address, process.address });
    }
}

void Fleet::planExecutors()
{
    for (const ExecutorSite& it : m_topology.executors()) {
        m_launches.push_back({ it.name,
            { program("standinExecutors"), "--control", it.controlAddress, "--executor", it.name + "=" + it.address, "--slots", std::to_string(it.slots), "--journal", journal(it.name) },
            it.controlAddress, it.controlAddress });
    }
}

void Fleet::planEntries()
{
    for (const EntrySite& it : m_topology.entries()) {
        std::string settings = (m_options.folder / (it.name + ".toml")).string();
        std::vector<std::string> command { program("plantainholdd"), "--config", settings };
        if (!m_options.control.empty()) {
            command = { program("standinNaiveDaemon"), settings };
            std::istringstream strategies(m_options.control);
            for (std::string strategy; strategies >> strategy;)
                command.push_back(strategy);
        }
        m_launches.push_back({ it.name, std::move(command), it.controlAddress, "" });
    }
}

const Fleet::Launch& Fleet::find(const std::string& name) const
{
    auto it = std::find_if(m_launches.begin(), m_launches.end(), [&](const Launch& launch) { return launch.name == name; });
    if (it == m_launches.end())
        throw ScenarioError("there is no process named " + name);
    return *it;
}

void Fleet::startAll()
{
    // The stand-ins first, so that no daemon meets a platform that is not there yet.
    for (bool isDaemon : { false, true }) {
        for (const Launch& it : m_launches) {
            if (it.switchAddress.empty() == isDaemon && !m_processes.isRunning(it.name))
                m_processes.start(it.name, it.command);
        }
        for (const Launch& it : m_launches) {
            if (it.switchAddress.empty() == isDaemon)
                waitUntilListening(it.name);
        }
    }
}

void Fleet::waitUntilListening(const std::string& name)
{
    const Launch& launch = find(name);
    auto until = std::chrono::steady_clock::now() + s_listenLimit;
    while (!isListening(launch.address)) {
        if (!m_processes.isRunning(name) || std::chrono::steady_clock::now() > until)
            throw ScenarioError(name + " does not listen on " + launch.address);
        std::this_thread::sleep_for(s_poll);
    }
}

void Fleet::start(const std::string& name)
{
    const Launch& launch = find(name);
    if (!m_processes.isRunning(name))
        m_processes.start(name, launch.command);
}

void Fleet::kill(const std::string& name)
{
    find(name);
    m_processes.kill(name);
    std::erase(m_paused, name);
    journalLostWorkers(name);
}

// What ran on a killed process of workers is gone; its journal has to say so,
// and the process itself cannot.
void Fleet::journalLostWorkers(const std::string& process)
{
    Journal file(journal(process));
    for (const WorkerSite& it : m_topology.workers()) {
        if (it.process == process)
            file.write({ { "event", "worker" }, { "worker", it.name }, { "millicores", it.group.millicores }, { "memory_mib", it.group.memoryMib }, { "accelerators", it.group.accelerators } });
    }
}

void Fleet::pause(const std::string& name)
{
    find(name);
    m_processes.signal(name, SIGSTOP);
    m_paused.push_back(name);
}

void Fleet::resume(const std::string& name)
{
    find(name);
    m_processes.signal(name, SIGCONT);
    std::erase(m_paused, name);
}

void Fleet::terminate(const std::string& name)
{
    find(name);
    m_processes.signal(name, SIGTERM);
}

bool Fleet::isPaused(const std::string& name) const
{
    return std::find(m_paused.begin(), m_paused.end(), name) != m_paused.end();
}

void Fleet::setSwitch(const std::string& name, const std::string& switchName, const std::string& value)
{
    std::string target = name;
    // "switch executors behave ID MODE" goes to the process of that executor.
    if (name == "executors")
        target = value.substr(0, value.find(' '));
    const Launch& launch = find(target);
    if (launch.switchAddress.empty() || !standin::setSwitch(launch.switchAddress, switchName, value, s_switchLimit))
        throw ScenarioError("cannot set switch " + switchName + " of " + target);
}

std::vector<std::string> Fleet::names() const
{
    std::vector<std::string> names;
    for (const Launch& it : m_launches)
        names.push_back(it.name);
    return names;
}

std::vector<std::filesystem::path> Fleet::journals() const
{
    std::vector<std::filesystem::path> files;
    for (const Launch& it : m_launches) {
        if (!it.switchAddress.empty())
            files.push_back(journal(it.name));
    }
    return files;
}

} // namespace plantainhold::standin
