// Measuring by differences: counters before and after a window.

#include "bench/CapacityRig.h"

#include "standin/proving/CallerPool.h"
#include "standin/proving/DaemonClient.h"

#include <atomic>
#include <cmath>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <thread>
#include <unistd.h>

namespace plantainhold::bench {

namespace {

    namespace fs = std::filesystem;
    using Milliseconds = std::chrono::milliseconds;
    using SteadyClock = std::chrono::steady_clock;

    constexpr double s_nanosecondsASecond = 1e9;
    constexpr double s_kibibyte = 1024;
    constexpr double s_percent = 100;
    constexpr Milliseconds s_callLimit { 3000 };
    constexpr Milliseconds s_readyLimit { 60'000 };
    constexpr Milliseconds s_poll { 50 };
    constexpr Milliseconds s_settleAfterSubmit { 1500 };
    constexpr int s_submitThreads = 16;
    constexpr int s_taskMillicores = 20;
    constexpr int s_taskMemoryMib = 16;

    // Processor time of all threads, in seconds.
    double processorSeconds(pid_t pid)
    {
        double sum = 0;
        std::error_code ec;
        for (const fs::directory_entry& it : fs::directory_iterator("/proc/" + std::to_string(pid) + "/task", ec)) {
            std::ifstream file(it.path() / "schedstat");
            double nanoseconds = 0;
            file >> nanoseconds;
            sum += nanoseconds / s_nanosecondsASecond;
        }
        return sum;
    }

    double residentMb(pid_t pid)
    {
        std::ifstream file("/proc/" + std::to_string(pid) + "/status");
        for (std::string line; std::getline(file, line);) {
            if (line.starts_with("VmRSS:"))
                return std::stod(line.substr(6)) / s_kibibyte;
        }
        return 0;
    }

    // Lines of a journal that hold a text, and the sum of one number in them.
    struct LineCount {
        double lines = 0;
        double sum = 0;
    };

    LineCount countLines(const fs::path& journal, const std::string& text, const std::string& summed = "")
    {
        LineCount count;
        std::ifstream file(journal);
        std::string key = "\"" + summed + "\":";
        for (std::string line; std::getline(file, line);) {
            if (line.find(text) == std::string::npos)
                continue;
            ++count.lines;
            auto at = summed.empty() ? std::string::npos : line.find(key);
            if (at != std::string::npos)
                count.sum += std::stod(line.substr(at + key.size()));
        }
        return count;
    }

    standin::Scenario makeScenario(const RigShape& shape, unsigned seed)
    {
        standin::Scenario scenario;
        scenario.promise = "capacity";
        scenario.seed = seed;
        scenario.proxied = { "log", "instances", "peers", "workers" };
        scenario.logAppendsPerSecond = 2000;
        for (int i = 0; i < shape.dataCentres; ++i) {
            std::string dataCentre = "dc" + std::to_string(i + 1);
            scenario.entries.push_back({ dataCentre, shape.entriesADataCentre });
            scenario.workers.push_back({ dataCentre, shape.workersADataCentre, 32'000, 128'000, 0, "rack-1" });
        }
        scenario.executors.push_back({ "dc1", "booklet", 4, 64 });
        return scenario;
    }

    // Repeats an action at an even rate on several threads until it is told to stop.
    class Ticker {
    public:
        Ticker(double rate, std::function<void(int)> action)
            : m_action(std::move(action))
        {
            if (rate <= 0)
                return;
            int width = std::max(1, std::min(s_submitThreads, static_cast<int>(std::ceil(rate))));
            for (int i = 0; i < width; ++i)
                m_threads.emplace_back([this, i, rate, width] { run(i, rate, width); });
        }
        ~Ticker()
        {
            m_isStopping = true;
            for (std::thread& it : m_threads)
                it.join();
        }

    private:
        void run(int first, double rate, int width)
        {
            auto start = SteadyClock::now();
            for (int n = first; !m_isStopping; n += width) {
                auto at = start + std::chrono::duration_cast<SteadyClock::duration>(std::chrono::duration<double>(n / rate));
                while (SteadyClock::now() < at && !m_isStopping)
                    std::this_thread::sleep_for(std::min<SteadyClock::duration>(s_poll, at - SteadyClock::now()));
                if (!m_isStopping)
                    m_action(n);
            }
        }

        std::function<void(int)> m_action;
        std::atomic<bool> m_isStopping { false };
        std::vector<std::thread> m_threads;
    };

} // namespace

struct CapacityRig::Counters {
    SteadyClock::time_point at;
    std::map<std::string, double> processor;
    std::map<std::string, double> memory;
    std::vector<standin::FaultProxy::LinkCounters> links;
    LineCount appends;
    double starts = 0;
    double runs = 0;
    int documents = 0;
};

CapacityRig::CapacityRig(const std::string& bin, const RigShape& shape, unsigned seed)
    : m_shape(shape)
    , m_folder((fs::temp_directory_path() / ("plantainhold-capacity-" + std::to_string(getpid()))).string())
    , m_scenario(makeScenario(shape, seed))
{
    fs::remove_all(m_folder);
    fs::create_directories(m_folder);
    m_fleet = std::make_unique<standin::Fleet>(m_scenario, standin::RunOptions { fs::absolute(bin), m_folder, "", seed });
    m_fleet->startAll();
    publishDocument(++m_documents);
    auto until = SteadyClock::now() + s_readyLimit;
    for (const standin::EntrySite& it : m_fleet->topology().entries()) {
        standin::DaemonClient client(it.controlAddress);
        standin::StatusOutcome status;
        while (!status.ready || status.version == 0) {
            if (SteadyClock::now() > until)
                throw standin::ScenarioError(it.name + " does not become ready");
            std::this_thread::sleep_for(s_poll);
            status = client.status(s_callLimit);
        }
    }
}

CapacityRig::~CapacityRig()
{
    m_fleet.reset();
    std::error_code ec;
    fs::remove_all(m_folder, ec);
}

// Each document differs from the one before in one team.
void CapacityRig::publishDocument(int number)
{
    fs::path path = fs::path(m_folder) / ("document-" + std::to_string(number) + ".toml");
    std::ofstream file(path);
    file << "[profile.once]\npriority = \"high\"\nlatency_objective_ms = 2000\ndeadline_ms = 10000\nidempotent = false\nretry_percent = 0\n"
         << "[service.booklet]\nprofile = \"once\"\npath_prefix = \"/booklet\"\n";
    for (int i = 0; i < m_shape.teams; ++i)
        file << "[team.team-" << i << "]\ndepartment = \"department-" << (i == number % m_shape.teams ? number : 0) << "\"\nmillicore_quota = 64000000\n";
    file.close();
    standin::DaemonClient client(m_fleet->topology().entries()[static_cast<std::size_t>(number) % m_fleet->topology().entries().size()].controlAddress);
    for (int i = 0; i < 20; ++i) {
        if (!client.publish(path, "document-" + std::to_string(number), 0, s_callLimit).result.empty())
            return;
        std::this_thread::sleep_for(s_poll);
    }
}

void CapacityRig::submitTasks(const std::string& prefix, int count, const std::string& command)
{
    std::atomic<int> next { 0 };
    std::vector<std::thread> threads;
    const auto& entries = m_fleet->topology().entries();
    for (int i = 0; i < s_submitThreads; ++i) {
        threads.emplace_back([&, i] {
            standin::DaemonClient client(entries[static_cast<std::size_t>(i) % entries.size()].controlAddress);
            for (int n = next++; n < count; n = next++) {
                standin::SubmitSpec spec { prefix + std::to_string(n), "team-0", "", command, s_taskMillicores, s_taskMemoryMib };
                spec.isService = command.starts_with("service");
                client.submit(spec, s_callLimit);
            }
        });
    }
    for (std::thread& it : threads)
        it.join();
}

CapacityRig::Counters CapacityRig::read()
{
    Counters counters;
    counters.at = SteadyClock::now();
    for (const standin::EntrySite& it : m_fleet->topology().entries()) {
        pid_t pid = m_fleet->processes().pid(it.name);
        counters.processor[it.name] = processorSeconds(pid);
        counters.memory[it.name] = residentMb(pid);
    }
    counters.links = m_fleet->proxy().counters();
    for (const fs::path& it : m_fleet->journals()) {
        std::string name = it.filename().string();
        if (name.starts_with("log"))
            counters.appends = countLines(it, "\"append\"", "bytes");
        else if (name.starts_with("workers"))
            counters.starts += countLines(it, "\"event\":\"start\"").lines;
        else if (name.starts_with("executor"))
            counters.runs += countLines(it, "\"event\":\"run\"").lines;
    }
    counters.documents = m_documents;
    return counters;
}

CapacitySample CapacityRig::difference(const Counters& before, const Counters& after) const
{
    CapacitySample sample;
    sample.seconds = std::chrono::duration<double>(after.at - before.at).count();
    std::map<std::string, InstanceCost> costs;
    for (const auto& [name, seconds] : after.processor) {
        InstanceCost& cost = costs[name];
        cost.instance = name;
        // A new process counts from zero.
        double earlier = seconds < before.processor.at(name) ? 0 : before.processor.at(name);
        cost.processorPercent = (seconds - earlier) / sample.seconds * s_percent;
        cost.memoryMb = after.memory.at(name);
    }
    for (std::size_t i = 0; i < after.links.size(); ++i) {
        const auto& link = after.links[i];
        double bytes = static_cast<double>(link.bytesForward - before.links[i].bytesForward + link.bytesBack - before.links[i].bytesBack) / sample.seconds;
        auto arrow = link.name.find('>');
        InstanceCost& from = costs[link.name.substr(0, arrow)];
        std::string to = link.name.substr(arrow + 1);
        if (to == "log")
            from.logBytesASecond += bytes;
        else if (to == "instances")
            from.listBytesASecond += bytes;
        else if (to.starts_with("worker-"))
            from.workerBytesASecond += bytes;
        else {
            from.peerBytesASecond += bytes;
            costs[to].peerBytesASecond += bytes;
        }
    }
    for (auto& [name, cost] : costs)
        sample.instances.push_back(cost);
    sample.appendsASecond = (after.appends.lines - before.appends.lines) / sample.seconds;
    sample.appendedBytesASecond = (after.appends.sum - before.appends.sum) / sample.seconds;
    sample.startsASecond = (after.starts - before.starts) / sample.seconds;
    sample.claimsASecond = (after.runs - before.runs) / sample.seconds;
    sample.changesASecond = (after.documents - before.documents) / sample.seconds;
    return sample;
}

CapacitySample CapacityRig::measure(const RigLoad& load, Milliseconds settle, Milliseconds window)
{
    std::string prefix = "batch-" + std::to_string(++m_batches) + "-";
    if (load.runningTasks > 0) {
        submitTasks(prefix + "running-", load.runningTasks, "service");
        std::this_thread::sleep_for(s_settleAfterSubmit);
    }
    const auto& entries = m_fleet->topology().entries();
    std::vector<std::unique_ptr<standin::DaemonClient>> clients;
    for (const standin::EntrySite& it : entries)
        clients.push_back(std::make_unique<standin::DaemonClient>(it.controlAddress));
    standin::CallerPool callers("");
    Counters before, after;
    {
        Ticker starts(load.startsASecond, [&](int n) {
            standin::SubmitSpec spec { prefix + "start-" + std::to_string(n), "team-0", "", "work 50", s_taskMillicores, s_taskMemoryMib };
            clients[static_cast<std::size_t>(n) % clients.size()]->submit(spec, s_callLimit);
        });
        Ticker changes(load.changesASecond, [&](int) { publishDocument(++m_documents); });
        Ticker claims(load.claimsASecond, [&](int n) {
            const standin::EntrySite& entry = entries[static_cast<std::size_t>(n) % entries.size()];
            standin::CallSpec call { entry.name, entry.callerAddress, "booklet", "/booklet?work_ms=1", "team-1", prefix + "key-" + std::to_string(n) };
            callers.call(std::move(call));
        });
        Ticker listChanges(load.listChangesASecond, [&](int n) {
            std::string name = "extra-" + std::to_string(n % 2);
            standin::setSwitch(m_fleet->topology().instancesAddress(), n / 2 % 2 == 0 ? "add" : "remove", n / 2 % 2 == 0 ? name + " executor 127.0.0.1:9 dc9 - none 8" : name, s_callLimit);
        });
        std::this_thread::sleep_for(settle);
        before = read();
        std::this_thread::sleep_for(window);
        after = read();
    }
    callers.join(s_readyLimit);
    return difference(before, after);
}

CapacitySample CapacityRig::measureRestart(Milliseconds window)
{
    const std::string& name = m_fleet->topology().entries().front().name;
    Counters before = read();
    m_fleet->kill(name);
    m_fleet->start(name);
    std::this_thread::sleep_for(window);
    CapacitySample sample = difference(before, read());
    std::erase_if(sample.instances, [&](const InstanceCost& it) { return it.instance != name; });
    return sample;
}

} // namespace plantainhold::bench
