// ./run bench config --seed N [--changes N] [--output json]
// Real processes: how long an accepted change takes until each instance has it in
// force, and what changes and membership cost an instance in bytes and processor time.

#include "bench/BenchOptions.h"
#include "bench/BenchReport.h"
#include "plantainhold/proto/config.grpc.pb.h"
#include "plantainhold/proto/report.grpc.pb.h"
#include "standin/proving/Fleet.h"

#include <algorithm>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <grpcpp/channel.h>
#include <grpcpp/client_context.h>
#include <grpcpp/create_channel.h>
#include <grpcpp/security/credentials.h>
#include <limits>
#include <memory>
#include <random>
#include <regex>
#include <thread>
#include <unistd.h>

namespace plantainhold::bench {

namespace {

    using Clock = std::chrono::steady_clock;
    constexpr int s_instances = 8;
    constexpr int s_teams = 390;
    constexpr double s_changesPerDay = 5000;
    constexpr double s_secondsPerDay = 86'400;
    constexpr double s_inForceLimitMs = 3000;
    constexpr double s_coreLimitPercent = 3.8;
    constexpr double s_bytesLimit = 4096;
    constexpr std::chrono::seconds s_patience { 30 };
    constexpr std::chrono::seconds s_idle { 10 };
    constexpr std::chrono::milliseconds s_poll { 2 };

    struct Daemon {
        std::string name;
        std::unique_ptr<config::Config::Stub> config;
        std::unique_ptr<report::Report::Stub> report;
    };

    double secondsSince(Clock::time_point start)
    {
        return std::chrono::duration<double>(Clock::now() - start).count();
    }

    config::Document makeDocument()
    {
        config::Document document;
        for (const char* name : { "urgent", "once", "night" }) {
            config::Profile* profile = document.add_profiles();
            profile->set_name(name);
            profile->set_priority(2);
            profile->set_latency_objective_ms(500);
            profile->set_objective_milli(990);
            profile->set_deadline_ms(5000);
            profile->set_idempotent(true);
            profile->set_queue_limit(64);
            profile->set_slot_percent(100);
            config::Service* service = document.add_services();
            service->set_name(std::string("service-") + name);
            service->set_profile(name);
            service->set_path_prefix(std::string("/") + name);
        }
        for (int i = 0; i < s_teams; ++i) {
            config::Team* team = document.add_teams();
            team->set_name("team-" + std::to_string(i));
            team->set_department("department-" + std::to_string(i % 20));
            team->set_slot_quota(8);
            team->set_millicore_quota(64'000);
        }
        return document;
    }

    class Trial {
    public:
        Trial(const std::string& bin, const std::filesystem::path& folder, std::uint64_t seed)
            : m_random(static_cast<std::mt19937::result_type>(seed))
            , m_fleet(scenario(), { bin, folder, "", seed })
            , m_document(makeDocument())
        {
            m_fleet.startAll();
            for (const auto& it : m_fleet.topology().entries()) {
                auto channel = grpc::CreateChannel(it.controlAddress, grpc::InsecureChannelCredentials());
                m_daemons.push_back({ it.name, config::Config::NewStub(channel), report::Report::NewStub(channel) });
            }
        }

        // Reassigns a random team through a random instance.
        void change(int number)
        {
            auto* team = m_document.mutable_teams(static_cast<int>(m_random() % s_teams));
            team->set_department("department-" + std::to_string(m_random() % 1000));
            config::PublishRequest request;
            request.set_id("change-" + std::to_string(number));
            request.set_author("bench");
            request.set_timeout_ms(20'000);
            *request.mutable_document() = m_document;
            config::PublishReply reply;
            grpc::ClientContext call;
            Daemon& daemon = m_daemons[m_random() % m_daemons.size()];
            auto start = Clock::now();
            if (!daemon.config->Publish(&call, request, &reply).ok() || reply.result() != 4000)
                throw std::runtime_error("a change was not accepted");
            acceptMs.push_back(secondsSince(start) * 1000);
            auto accepted = Clock::now();
            for (Daemon& it : m_daemons)
                waitFor(it, reply.version());
            inForceMs.push_back(secondsSince(accepted) * 1000);
        }

        // Bytes that the config stream took so far.
        std::uint64_t logBytes() const
        {
            static const std::regex s_bytes("\"stream\":\"config\".*\"bytes\":([0-9]+)");
            std::uint64_t bytes = 0;
            for (const auto& path : m_fleet.journals()) {
                std::ifstream file(path);
                std::string line;
                std::smatch match;
                while (std::getline(file, line)) {
                    if (std::regex_search(line, match, s_bytes))
                        bytes += std::stoull(match[1]);
                }
            }
            return bytes;
        }

        double processorSeconds(const std::string& name)
        {
            std::ifstream file("/proc/" + std::to_string(m_fleet.processes().pid(name)) + "/stat");
            std::string text((std::istreambuf_iterator<char>(file)), {});
            std::istringstream words(text.substr(text.rfind(')') + 2));
            std::vector<std::string> fields;
            for (std::string word; words >> word;)
                fields.push_back(word);
            return (std::stod(fields.at(11)) + std::stod(fields.at(12))) / static_cast<double>(sysconf(_SC_CLK_TCK));
        }

        double processorSeconds()
        {
            double sum = 0;
            for (const Daemon& it : m_daemons)
                sum += processorSeconds(it.name);
            return sum;
        }

        // Bytes of the peers' messages that all instances have sent and received.
        double peerBytes()
        {
            double sum = 0;
            for (Daemon& it : m_daemons) {
                grpc::ClientContext call;
                report::StatusReply reply;
                if (!it.report->Status(&call, report::StatusRequest(), &reply).ok())
                    throw std::runtime_error("a daemon did not answer");
                for (const auto& line : reply.lines()) {
                    if (line.name() == "peer_bytes")
                        sum += std::stod(line.value());
                }
            }
            return sum;
        }

        const config::Document& document() const { return m_document; }

        std::vector<double> acceptMs;
        std::vector<double> inForceMs;

    private:
        static standin::Scenario scenario()
        {
            standin::Scenario scenario;
            scenario.promise = "config";
            scenario.entries.push_back({ "arada", s_instances / 2 });
            scenario.entries.push_back({ "bole", s_instances / 2 });
            return scenario;
        }

        static void waitFor(Daemon& daemon, std::uint64_t version)
        {
            auto until = Clock::now() + s_patience;
            while (Clock::now() < until) {
                config::FetchRequest request;
                request.set_known_version(std::numeric_limits<std::uint64_t>::max());
                config::FetchReply reply;
                grpc::ClientContext call;
                if (daemon.config->Fetch(&call, request, &reply).ok() && reply.version() >= version)
                    return;
                std::this_thread::sleep_for(s_poll);
            }
            throw std::runtime_error(daemon.name + " did not take up the version");
        }

        std::mt19937 m_random;
        standin::Fleet m_fleet;
        config::Document m_document;
        std::vector<Daemon> m_daemons;
    };

    double quantile(std::vector<double> values, double share)
    {
        std::sort(values.begin(), values.end());
        return values[std::min(values.size() - 1, static_cast<std::size_t>(share * static_cast<double>(values.size())))];
    }

    void measure(Trial& trial, int changes, BenchReport& report)
    {
        trial.change(0);
        std::uint64_t fullBytes = trial.logBytes();
        // The first change carries the whole document.
        trial.acceptMs.clear();
        trial.inForceMs.clear();
        std::this_thread::sleep_for(std::chrono::seconds(3));
        double idleStart = trial.processorSeconds();
        double peerStart = trial.peerBytes();
        std::this_thread::sleep_for(s_idle);
        double idleCore = (trial.processorSeconds() - idleStart) / s_idle.count() / s_instances;
        double peerRate = (trial.peerBytes() - peerStart) / s_idle.count() / s_instances;
        double start = trial.processorSeconds();
        auto startedAt = Clock::now();
        for (int i = 1; i <= changes; ++i)
            trial.change(i);
        double busy = trial.processorSeconds() - start - idleCore * secondsSince(startedAt) * s_instances;
        double bytesAChange = static_cast<double>(trial.logBytes() - fullBytes) / changes;
        double processorAChange = busy / changes / s_instances;
        double changesPerSecond = s_changesPerDay / s_secondsPerDay;
        report.addRow({ "accepted, median", decimal(quantile(trial.acceptMs, 0.5), 1), "ms" });
        report.addRow({ "accepted to in force on all, median", decimal(quantile(trial.inForceMs, 0.5), 1), "ms" });
        report.addRow({ "accepted to in force on all, worst", decimal(quantile(trial.inForceMs, 1), 1), "ms" });
        report.addRow({ "whole document in the log", decimal(static_cast<double>(fullBytes), 0), "bytes" });
        report.addRow({ "a change in the log", decimal(bytesAChange, 0), "bytes" });
        report.addRow({ "processor time of a change on an instance", decimal(processorAChange * 1e3, 2), "ms" });
        report.addRow({ "idle instance, all modules", decimal(idleCore * 100, 2), "% of a core" });
        report.addRow({ "peers' messages, 8 instances", decimal(peerRate, 0), "bytes/s an instance" });
        report.addRow({ "5,000 changes a day, bytes read", decimal(bytesAChange * changesPerSecond, 2), "bytes/s an instance" });
        report.addRow({ "5,000 changes a day, whole documents", decimal(static_cast<double>(fullBytes) * changesPerSecond, 0), "bytes/s an instance" });
        report.addTargetAtMost("accepted to in force on all, worst ms", quantile(trial.inForceMs, 1), s_inForceLimitMs);
        report.addTargetAtMost("5,000 changes a day, bytes/s", bytesAChange * changesPerSecond, s_bytesLimit);
        report.addTargetAtMost("5,000 changes a day, % of a core", processorAChange * changesPerSecond * 100, s_coreLimitPercent);
        report.addTargetAtMost("peers' messages, bytes/s an instance", peerRate, s_bytesLimit);
        report.addNote("bytes are payloads without gRPC's framing; the publishes' own calls and the polling of this bench are in the processor time");
    }

    int run(int argc, char** argv)
    {
        BenchOptions options("Measures configuration and membership on real processes.");
        TCLAP::ValueArg<int> changes("", "changes", "how many changes", false, 100, "N", options.line());
        options.parse(argc, argv);
        std::filesystem::path folder = std::filesystem::temp_directory_path() / ("plantainhold-config-bench-" + std::to_string(getpid()));
        std::filesystem::create_directories(folder);
        BenchReport report("config", options.seed());
        report.setColumns({ "what", "figure", "unit" });
        {
            Trial trial(options.bin(), folder, options.seed());
            measure(trial, changes.getValue(), report);
        }
        std::filesystem::remove_all(folder);
        options.print(report);
        return 0;
    }

} // namespace

} // namespace plantainhold::bench

int main(int argc, char** argv)
{
    return plantainhold::bench::run(argc, argv);
}
