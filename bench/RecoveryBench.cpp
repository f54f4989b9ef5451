// ./run bench recovery --seed N [--tasks N] [--output json]
// Real processes: the owner of a shard is killed, paused, or cut from the log;
// how long until an urgent task starts again, and until every worker is owned.

#include "bench/BenchOptions.h"
#include "bench/BenchReport.h"
#include "plantainhold/proto/report.grpc.pb.h"
#include "plantainhold/proto/task.grpc.pb.h"
#include "standin/proving/Evidence.h"
#include "standin/proving/Fleet.h"
#include "standin/proving/JournalReader.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <filesystem>
#include <grpcpp/channel.h>
#include <grpcpp/client_context.h>
#include <grpcpp/create_channel.h>
#include <grpcpp/security/credentials.h>
#include <iostream>
#include <optional>
#include <random>
#include <thread>

namespace plantainhold::bench {

namespace {

    using Clock = std::chrono::steady_clock;
    constexpr int s_workers = 12;
    constexpr std::chrono::milliseconds s_poll { 10 };
    constexpr std::chrono::seconds s_patience { 25 };
    constexpr double s_urgentLimitMs = 1000;
    // The shard's lease, its margin, and a second.
    constexpr double s_takeoverLimitMs = 3000 + 500 + 1000;

    class Trial {
    public:
        Trial(const std::string& bin, const std::filesystem::path& folder, std::uint64_t seed)
            : m_fleet(scenario(), { bin, folder, "", seed })
        {
            m_fleet.startAll();
        }

        // Fills the shard, strikes, and measures.
        void run(const std::string& fault, int tasks)
        {
            submitMany(tasks);
            std::string owner = ownerOf("task-0");
            std::cerr << fault << ": " << startsSeen() << " of " << tasks << " tasks started, owner " << owner << '\n';
            if (fault == "kill")
                m_fleet.kill(owner);
            else if (fault == "pause")
                m_fleet.pause(owner);
            else if (fault == "cut")
                m_fleet.proxy().cut(owner + ">log");
            auto struckAt = Clock::now();
            const auto& entries = m_fleet.topology().entries();
            auto survivor = std::find_if(entries.begin(), entries.end(), [&](const auto& it) { return it.name != owner; });
            std::string via = fault == "none" ? owner : survivor->name;
            std::thread urgent([&] { urgentMs = startMs(via, struckAt); });
            ownedMs = fault == "none" ? 0 : ownedAfterMs(owner, struckAt);
            urgent.join();
            std::cerr << fault << ": urgent " << urgentMs << " ms, owned " << ownedMs << " ms\n";
        }

        double urgentMs = 0;
        double ownedMs = 0;

    private:
        static standin::Scenario scenario()
        {
            standin::Scenario scenario;
            scenario.promise = "recovery";
            scenario.entries.push_back({ "arada", 3 });
            standin::WorkerGroup workers;
            workers.dataCentre = "arada";
            workers.count = s_workers;
            workers.rack = "r1";
            scenario.workers.push_back(workers);
            scenario.settings.push_back({ "tasks", "shards", "1" });
            scenario.proxied = { "log" };
            return scenario;
        }

        std::shared_ptr<grpc::Channel> channel(const std::string& entry) const
        {
            const auto& entries = m_fleet.topology().entries();
            auto it = std::find_if(entries.begin(), entries.end(), [&](const auto& site) { return site.name == entry; });
            return grpc::CreateChannel(it->controlAddress, grpc::InsecureChannelCredentials());
        }

        static bool submit(task::Tasks::Stub& stub, const std::string& id, bool isUrgent)
        {
            task::SubmitRequest request;
            request.set_timeout_ms(static_cast<std::uint32_t>(s_patience.count() * 1000));
            task::TaskSpec* spec = request.mutable_spec();
            spec->set_id(id);
            spec->set_team("bench");
            spec->set_command("work 300000");
            spec->set_urgent(isUrgent);
            spec->mutable_resources()->set_millicores(10);
            spec->mutable_resources()->set_memory_mib(10);
            task::SubmitReply reply;
            grpc::ClientContext context;
            return stub.Submit(&context, request, &reply).ok() && reply.result() == 3000;
        }

        void submitMany(int tasks)
        {
            constexpr int s_threads = 64;
            std::atomic<int> next { 0 };
            std::vector<std::jthread> threads;
            for (int i = 0; i < s_threads; ++i) {
                threads.emplace_back([&] {
                    auto stub = task::Tasks::NewStub(channel("entry-arada-1"));
                    for (int n = next++; n < tasks; n = next++)
                        submit(*stub, "task-" + std::to_string(n), false);
                });
            }
            threads.clear();
            auto until = Clock::now() + s_patience;
            while (startsSeen() < tasks && Clock::now() < until)
                std::this_thread::sleep_for(s_poll * 20);
        }

        standin::Evidence evidence() const
        {
            standin::Evidence evidence;
            for (const std::filesystem::path& it : m_fleet.journals())
                standin::readJournal(it, evidence);
            return evidence;
        }

        int startsSeen() const
        {
            standin::Evidence seen = evidence();
            return static_cast<int>(std::count_if(seen.workers.begin(), seen.workers.end(), [](const auto& it) { return it.kind == standin::WorkerEventKind::Start; }));
        }

        std::string ownerOf(const std::string& id) const
        {
            task::ShowRequest request;
            request.set_task(id);
            task::ShowReply reply;
            grpc::ClientContext context;
            task::Tasks::NewStub(channel("entry-arada-1"))->Show(&context, request, &reply);
            const std::string& owner = reply.task().owner();
            return owner.substr(0, owner.rfind('-'));
        }

        static double sinceMs(Clock::time_point start, Clock::time_point at)
        {
            return std::chrono::duration<double, std::milli>(at - start).count();
        }

        double startMs(const std::string& via, Clock::time_point struckAt) const
        {
            auto stub = task::Tasks::NewStub(channel(via));
            submit(*stub, "urgent", true);
            for (auto until = Clock::now() + s_patience; Clock::now() < until; std::this_thread::sleep_for(s_poll * 5)) {
                for (const standin::WorkerEvent& it : evidence().workers) {
                    if (it.kind == standin::WorkerEventKind::Start && it.task == "urgent")
                        return sinceMs(struckAt, Clock::time_point(std::chrono::microseconds(it.atUs)));
                }
            }
            return sinceMs(struckAt, Clock::now());
        }

        bool ownsAll(const std::string& entry) const
        {
            report::StatusReply reply;
            grpc::ClientContext context;
            context.set_deadline(std::chrono::system_clock::now() + std::chrono::milliseconds(500));
            report::Report::NewStub(channel(entry))->Status(&context, {}, &reply);
            std::string all = "workers answering " + std::to_string(s_workers) + " of " + std::to_string(s_workers);
            return std::any_of(reply.lines().begin(), reply.lines().end(), [&](const auto& it) { return it.name() == "shard_0" && it.value().starts_with("owned here") && it.value().ends_with(all); });
        }

        double ownedAfterMs(const std::string& owner, Clock::time_point struckAt) const
        {
            for (auto until = Clock::now() + s_patience; Clock::now() < until; std::this_thread::sleep_for(s_poll)) {
                for (const auto& it : m_fleet.topology().entries()) {
                    if (it.name != owner && ownsAll(it.name))
                        return sinceMs(struckAt, Clock::now());
                }
            }
            return sinceMs(struckAt, Clock::now());
        }

        standin::Fleet m_fleet;
    };

    double median(std::vector<double> figures)
    {
        std::sort(figures.begin(), figures.end());
        return figures[figures.size() / 2];
    }

    int runBench(int argc, char** argv)
    {
        BenchOptions options("Recovery of a shard after faults of its owner");
        TCLAP::ValueArg<int> tasks("", "tasks", "tasks that run besides, in the large rows", false, 4000, "N", options.line());
        TCLAP::ValueArg<int> trials("", "trials", "trials a row", false, 3, "N", options.line());
        options.parse(argc, argv);
        BenchReport report("recovery", options.seed());
        report.setColumns({ "fault", "tasks", "trials", "urgent_start_ms", "all_owned_ms" });
        struct Row {
            std::string fault;
            int tasks;
        };
        const std::vector<Row> rows { { "none", 400 }, { "kill", 400 }, { "pause", 400 }, { "cut", 400 }, { "kill", tasks.getValue() } };
        for (const Row& row : rows) {
            std::vector<double> urgent, owned;
            for (int i = 0; i < trials.getValue(); ++i) {
                std::filesystem::path folder = std::filesystem::temp_directory_path() / ("plantainhold-recovery-" + std::to_string(std::random_device()()));
                std::filesystem::create_directories(folder);
                {
                    Trial trial(options.bin(), folder, options.seed() + static_cast<unsigned>(i));
                    trial.run(row.fault, row.tasks);
                    urgent.push_back(trial.urgentMs);
                    owned.push_back(trial.ownedMs);
                }
                std::filesystem::remove_all(folder);
            }
            std::string name = row.fault + ", " + std::to_string(row.tasks) + " tasks";
            report.addRow({ row.fault, std::to_string(row.tasks), std::to_string(trials.getValue()), decimal(median(urgent), 0), decimal(median(owned), 0) });
            if (row.fault == "none")
                report.addTargetAtMost("urgent start in ms, " + name, median(urgent), s_urgentLimitMs);
            else
                report.addTargetAtMost("all workers owned in ms, " + name, median(owned), s_takeoverLimitMs);
        }
        report.addNote("medians; the takeover limit is the shard's lease, its margin and a second");
        options.print(report);
        return 0;
    }

} // namespace

} // namespace plantainhold::bench

int main(int argc, char** argv)
{
    return plantainhold::bench::runBench(argc, argv);
}
