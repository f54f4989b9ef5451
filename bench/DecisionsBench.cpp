// ./run bench decisions --seed N [--output json]
// Placement decisions a second and memory a task in one decision core, at
// today's size, four and sixteen times it, and the size to design for.

#include "bench/BenchOptions.h"
#include "bench/BenchReport.h"
#include "plantainhold/policy/Fleet.h"
#include "plantainhold/policy/Planner.h"
#include "plantainhold/ports/WorkerPort.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>
#include <deque>
#include <malloc.h>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace plantainhold::bench {

namespace {

    constexpr Resources s_workerCapacity { 32000, 125 * 1024, 0 };
    constexpr Resources s_executorSize { 8000, 24 * 1024, 0 };
    constexpr int s_kinds = 24;
    constexpr int s_teams = 390;
    constexpr std::size_t s_decisions = 20000;
    constexpr int s_mostRounds = 2000;
    constexpr int s_settlingRounds = 20;
    constexpr int s_batchPerSecond = 280;

    struct Size {
        const char* name;
        int workers;
        int services;
        int batch;
    };
    constexpr std::array<Size, 4> s_sizes { {
        { "today", 65, 65, 260 },
        { "x4", 260, 260, 1040 },
        { "x16", 1040, 1040, 4160 },
        { "two years", 3100, 12000, 20000 },
    } };

    struct Figures {
        std::size_t running = 0;
        double decisionsPerSecond = 0;
        double microsecondsPerDecision = 0;
        double samplesPerSecond = 0;
        double bytesPerTask = 0;
        double blockedRoundMicroseconds = 0;
    };

    std::size_t allocatedBytes()
    {
        struct mallinfo2 info = mallinfo2();
        return info.uordblks + info.hblkhd;
    }

    class Core {
    public:
        Core(const Size& size, std::uint32_t seed)
            : m_size(size)
            , m_random(seed)
            , m_planner(PlannerOptions { .seed = seed })
        {
        }

        Figures measure()
        {
            for (int i = 0; i < m_size.workers; ++i) {
                Resources capacity = s_workerCapacity;
                capacity.accelerators = i % 3 ? 2 : 3;
                m_planner.workerUpdated({ "worker-" + std::to_string(i), "rack-" + std::to_string(i / 8), capacity, false }, m_now);
            }
            std::size_t before = allocatedBytes();
            fill();
            Figures figures;
            std::size_t after = allocatedBytes();
            figures.running = m_services.size() + m_running.size();
            figures.bytesPerTask = static_cast<double>(after - before) / static_cast<double>(m_services.size() + m_running.size());
            figures.samplesPerSecond = measureSamples();
            measureDecisions(figures);
            measureBlocked(figures);
            return figures;
        }

    private:
        using WallClock = std::chrono::steady_clock;

        static double secondsSince(WallClock::time_point begin)
        {
            return std::chrono::duration<double>(WallClock::now() - begin).count();
        }

        TaskRequest batchTask()
        {
            TaskRequest request;
            request.task = "task-" + std::to_string(m_nextTask++);
            request.team = "team-" + std::to_string(m_random() % s_teams);
            request.kind = "program-" + std::to_string(m_random() % s_kinds);
            request.priority = Priority::Low;
            // The fleet of the larger plan runs 6.5 batch tasks a worker beside 4 executors.
            request.declared = { 500 + static_cast<std::int64_t>(m_random() % 1500), 1024 + static_cast<std::int64_t>(m_random() % 4096), m_random() % 20 == 0 };
            request.expected = Milliseconds(600'000);
            return request;
        }

        // A task may be placed later than in the round after its arrival.
        void await(const TaskRequest& request)
        {
            m_pending.emplace(request.task, request);
            m_planner.taskWaiting(request, m_now);
        }

        void start(const Placement& placement)
        {
            auto pending = m_pending.extract(placement.task);
            const TaskRequest& request = pending.mapped();
            m_planner.attemptStarted({ request.task, 1 }, request, placement.worker, placement.reserved, m_now);
            (request.isService ? m_services : m_running).push_back({ request.task, 1 });
        }

        void startAll(const std::vector<TaskRequest>& requests)
        {
            for (const TaskRequest& it : requests)
                await(it);
            for (const Placement& it : m_planner.plan(m_now).placements)
                start(it);
        }

        void fill()
        {
            for (int i = 0; i < m_size.services; i += 100) {
                std::vector<TaskRequest> requests;
                for (int k = i; k < std::min(i + 100, m_size.services); ++k) {
                    TaskRequest request;
                    request.task = "executor-" + std::to_string(k);
                    request.team = "platform";
                    request.kind = "service-" + std::to_string(k % 12);
                    request.priority = Priority::Urgent;
                    request.isService = true;
                    request.declared = { s_executorSize.millicores / 2, s_executorSize.memoryMib / 2, 0 };
                    requests.push_back(request);
                }
                startAll(requests);
            }
            sampleAll();
            for (int i = 0; i < m_size.batch; i += 100) {
                std::vector<TaskRequest> requests;
                for (int k = i; k < std::min(i + 100, m_size.batch); ++k)
                    requests.push_back(batchTask());
                startAll(requests);
                m_now += Milliseconds(1000);
                // Samples teach the model that this load is harmless, so that the fleet fills up.
                if (i % 2000 == 0)
                    sampleAll();
            }
            for (int i = 0; i < s_settlingRounds && !m_pending.empty(); ++i) {
                sampleAll();
                startAll({});
            }
        }

        void sampleAll()
        {
            m_now += Milliseconds(30'000);
            for (const AttemptId& it : m_running)
                m_planner.sample(sampleOf(it, false), m_now);
            for (const AttemptId& it : m_services)
                m_planner.sample(sampleOf(it, true), m_now);
        }

        AttemptReport sampleOf(const AttemptId& id, bool isService)
        {
            AttemptReport report;
            report.id = id;
            report.state = AttemptState::Running;
            report.used = { isService ? 2400 : 900, 2048, 0 };
            report.slowdownMilli = isService ? 1200 : 0;
            report.sampleAge = Milliseconds(10'000);
            return report;
        }

        // One report of every task, and the speeds decided after it.
        double measureSamples()
        {
            WallClock::time_point begin = WallClock::now();
            sampleAll();
            m_planner.plan(m_now);
            return static_cast<double>(m_running.size() + m_services.size()) / secondsSince(begin);
        }

        // The steady state: as many tasks end as begin, 280 a second of the fake's time.
        void measureDecisions(Figures& figures)
        {
            double seconds = 0;
            std::size_t placed = 0;
            for (int rounds = 0; placed < s_decisions && rounds < s_mostRounds;) {
                m_now += Milliseconds(200);
                int n = std::min(s_batchPerSecond / 5, static_cast<int>(m_running.size()));
                std::vector<TaskRequest> requests;
                for (int i = 0; i < n; ++i)
                    requests.push_back(batchTask());
                WallClock::time_point begin = WallClock::now();
                for (int i = 0; i < n; ++i) {
                    m_planner.attemptEnded(m_running.front(), AttemptState::Completed, m_now);
                    m_running.pop_front();
                }
                for (const TaskRequest& it : requests)
                    await(it);
                Plan plan = m_planner.plan(m_now);
                seconds += secondsSince(begin);
                for (const Placement& it : plan.placements)
                    start(it);
                placed += plan.placements.size();
                ++rounds;
            }
            figures.decisionsPerSecond = static_cast<double>(placed) / seconds;
            figures.microsecondsPerDecision = 1e6 * seconds / static_cast<double>(placed);
        }

        // A round in which nothing that waits fits: the cost of a backlog.
        void measureBlocked(Figures& figures)
        {
            for (int i = 0; i < 2000; ++i) {
                TaskRequest request = batchTask();
                request.declared = { 31000, 120 * 1024, 3 };
                m_planner.taskWaiting(request, m_now);
            }
            m_planner.plan(m_now);
            constexpr int s_rounds = 20;
            WallClock::time_point begin = WallClock::now();
            for (int i = 0; i < s_rounds; ++i) {
                m_now += Milliseconds(1000);
                m_planner.plan(m_now);
            }
            figures.blockedRoundMicroseconds = 1e6 * secondsSince(begin) / s_rounds;
        }

        const Size& m_size;
        std::mt19937 m_random;
        Planner m_planner;
        TimePoint m_now { std::chrono::hours(1) };
        std::deque<AttemptId> m_services;
        std::deque<AttemptId> m_running;
        std::unordered_map<std::string, TaskRequest> m_pending;
        int m_nextTask = 0;
    };

    int run(int argc, char** argv)
    {
        BenchOptions options("Measures the decision core of one shard owner.");
        options.parse(argc, argv);
        BenchReport report("decisions", options.seed());
        report.setColumns({ "size", "workers", "running", "decisions/s", "us/decision", "samples/s", "bytes/task", "blocked round us" });
        std::vector<Figures> all;
        for (const Size& it : s_sizes) {
            Figures figures = Core(it, options.seed()).measure();
            all.push_back(figures);
            report.addRow({ it.name, std::to_string(it.workers), std::to_string(figures.running), decimal(figures.decisionsPerSecond, 0), decimal(figures.microsecondsPerDecision, 1),
                decimal(figures.samplesPerSecond, 0), decimal(figures.bytesPerTask, 0), decimal(figures.blockedRoundMicroseconds, 0) });
        }
        double growth = all.back().microsecondsPerDecision / all.front().microsecondsPerDecision;
        double workers = static_cast<double>(s_sizes.back().workers) / s_sizes.front().workers;
        report.addTargetAtMost("exponent of the cost a decision over workers", std::log(growth) / std::log(workers), 0.99);
        report.addTargetAtLeast("decisions/s at 3,100 workers, of 280 task starts a second", all.back().decisionsPerSecond, 280);
        report.addTargetAtMost("share of a core for 280 decisions/s and reports of 32,000 tasks every 5 s, in percent",
            100 * (280 / all.back().decisionsPerSecond + 32000 / 5.0 / all.back().samplesPerSecond), 3.8 * 56);
        report.addTargetAtMost("MB for 32,000 tasks in one core", 32000 * all.back().bytesPerTask / 1e6, 128);
        report.addNote("a decision: one attempt's end, one arrival, one placement and the speeds that follow; one thread");
        report.addNote("3.8 % of a core an instance over 56 instances is the budget of the whole fleet");
        options.print(report);
        return 0;
    }

} // namespace

} // namespace plantainhold::bench

int main(int argc, char** argv)
{
    return plantainhold::bench::run(argc, argv);
}
