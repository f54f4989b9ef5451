// Uses the runner's own fleet, so that a bench starts processes as a proof does.

#include "bench/LoadFleet.h"

#include <boost/json.hpp>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <map>
#include <sstream>
#include <stdexcept>
#include <thread>
#include <unistd.h>

namespace plantainhold::bench {

namespace {

    constexpr const char* s_document = R"(
[profile.quotes]
priority = "urgent"
latency_objective_ms = 200
deadline_ms = 1000
idempotent = true
retry_percent = 20
queue_limit = 64
may_be_shed = false
[profile.sheets]
priority = "normal"
latency_objective_ms = 500
deadline_ms = 1000
idempotent = true
retry_percent = 20
queue_limit = 64
[profile.stock]
priority = "high"
latency_objective_ms = 1000
deadline_ms = 5000
idempotent = false
retry_percent = 0
[team.bench]
department = "bench"
[service.quote]
profile = "quotes"
path_prefix = "/quote"
[service.sheet]
profile = "sheets"
path_prefix = "/sheet"
[service.reconcile]
profile = "stock"
path_prefix = "/reconcile"
)";
    constexpr int s_readyTries = 200;
    constexpr std::chrono::milliseconds s_readyPause { 100 };
    constexpr std::chrono::milliseconds s_probeTime { 500 };

    standin::Scenario scenario()
    {
        standin::Scenario scenario;
        scenario.entries.push_back({ "bench", LoadFleet::s_entries });
        // One group for all three services: executors are shared, as the teams' are.
        scenario.executors.push_back({ "bench", "quote,sheet,reconcile", LoadFleet::s_executors, LoadFleet::s_slots });
        return scenario;
    }

    bool runs(const std::string& command)
    {
        return std::system((command + " >/dev/null 2>&1").c_str()) == 0;
    }

} // namespace

LoadFleet::LoadFleet(const std::filesystem::path& bin, const std::string& naive)
{
    std::string pattern = (std::filesystem::temp_directory_path() / "plantainhold-bench-XXXXXX").string();
    if (!mkdtemp(pattern.data()))
        throw std::runtime_error("no folder for the bench");
    m_folder = pattern;
    m_fleet = std::make_unique<standin::Fleet>(scenario(), standin::RunOptions { std::filesystem::absolute(bin), m_folder, naive, 1 });
    m_fleet->startAll();
    publish(bin);
    awaitReady();
}

LoadFleet::~LoadFleet()
{
    m_fleet.reset();
    std::error_code ec;
    std::filesystem::remove_all(m_folder, ec);
}

void LoadFleet::publish(const std::filesystem::path& bin)
{
    std::filesystem::path file = m_folder / "bench-config.toml";
    std::ofstream(file) << s_document;
    std::string server = m_fleet->topology().entries().front().controlAddress;
    for (int i = 0; i < s_readyTries; ++i) {
        if (runs((bin / "plantainhold").string() + " config publish " + file.string() + " --server " + server))
            return;
        std::this_thread::sleep_for(s_readyPause);
    }
    throw std::runtime_error("the configuration was not accepted");
}

void LoadFleet::awaitReady()
{
    LoadSpec probe;
    probe.target = "/quote?work_ms=1";
    probe.team = "bench";
    probe.requestsPerSecond = 50;
    probe.duration = s_probeTime;
    probe.deadline = std::chrono::milliseconds(1000);
    for (int i = 0; i < s_readyTries; ++i) {
        bool isReady = true;
        for (const std::string& it : entryAddresses()) {
            probe.addresses = { it };
            probe.prefix = "probe-" + std::to_string(i) + "-" + it.substr(0, it.find(':'));
            LoadResult result = generateLoads({ probe }).front();
            isReady = isReady && result.sent > 0 && result.answeredInTime == result.sent;
        }
        if (isReady)
            return;
    }
    throw std::runtime_error("the entry instances did not get ready");
}

std::vector<std::string> LoadFleet::entryAddresses() const
{
    std::vector<std::string> addresses;
    for (const standin::EntrySite& it : m_fleet->topology().entries())
        addresses.push_back(it.callerAddress);
    return addresses;
}

std::vector<std::string> LoadFleet::executorAddresses() const
{
    std::vector<std::string> addresses;
    for (const standin::ExecutorSite& it : m_fleet->topology().executors())
        addresses.push_back(it.address);
    return addresses;
}

void LoadFleet::behave(const std::string& mode)
{
    std::string name = m_fleet->topology().executors().front().name;
    m_fleet->setSwitch(name, "behave", name + " " + mode);
}

void LoadFleet::killExecutor()
{
    m_fleet->kill(m_fleet->topology().executors().front().name);
}

double LoadFleet::entrySeconds()
{
    double ticks = 0;
    for (const standin::EntrySite& it : m_fleet->topology().entries()) {
        std::ifstream stat("/proc/" + std::to_string(m_fleet->processes().pid(it.name)) + "/stat");
        std::string text;
        std::getline(stat, text);
        std::istringstream words(text.substr(text.rfind(')') + 1));
        // Words 12 and 13 after the name are the user and system ticks.
        std::string word;
        for (int i = 1; i <= 13 && words >> word; ++i) {
            if (i >= 12)
                ticks += std::stod(word);
        }
    }
    return ticks / static_cast<double>(sysconf(_SC_CLK_TCK));
}

LoadFleet::Truth LoadFleet::truth() const
{
    Truth truth;
    std::map<std::string, int> keys;
    for (const standin::ExecutorSite& it : m_fleet->topology().executors()) {
        std::ifstream journal(m_folder / (it.name + ".journal"));
        for (std::string line; std::getline(journal, line);) {
            boost::system::error_code ec;
            boost::json::value entry = boost::json::parse(line, ec);
            if (ec || !entry.is_object())
                continue;
            const auto& fields = entry.as_object();
            std::string event(fields.at("event").as_string());
            truth.slotsExceeded += event == "slots_exceeded";
            if (event != "run")
                continue;
            ++truth.runs;
            truth.ran.insert(std::string(fields.at("request").as_string()));
            std::string key(fields.at("key").as_string());
            truth.doubled += !key.empty() && ++keys[key] == 2;
        }
    }
    return truth;
}

} // namespace plantainhold::bench
