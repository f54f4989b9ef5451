// Tests Planner: reservations never exceed a worker's capacity, neighbours of guarded services
// are throttled, and preemption, quarantine, quotas and impossible tasks are handled.
#include "plantainhold/policy/Planner.h"
#include "plantainhold/policy/Fleet.h"

#include <catch2/catch.hpp>
#include <map>
#include <random>
#include <set>

namespace plantainhold {

namespace {

    constexpr TimePoint s_start { std::chrono::hours(1) };

    TaskRequest batchTask(const std::string& id, const Resources& declared)
    {
        TaskRequest request;
        request.task = id;
        request.team = "cupping";
        request.kind = "scores/cup";
        request.declared = declared;
        return request;
    }

    Planner& withWorkers(Planner& planner, int n, const Resources& capacity, int workersPerRack = 2)
    {
        for (int i = 0; i < n; ++i)
            planner.workerUpdated({ "worker-" + std::to_string(i), "rack-" + std::to_string(i / workersPerRack), capacity, false }, s_start);
        return planner;
    }

} // namespace

TEST_CASE("random events never overcommit a worker")
{
    constexpr std::uint32_t s_seed = 7;
    INFO("seed " << s_seed);
    std::mt19937 random(s_seed);
    auto below = [&](int n) { return static_cast<int>(random() % static_cast<unsigned>(n)); };
    Planner planner({});
    struct Running {
        TaskRequest request;
        std::string worker;
        Resources reserved;
    };
    std::map<std::string, Running> running;
    std::map<std::string, TaskRequest> waiting;
    std::map<std::string, Resources> capacity;
    TimePoint now = s_start;
    for (int step = 0; step < 4000; ++step) {
        now += Milliseconds(500);
        std::string worker = "worker-" + std::to_string(below(12));
        if (below(10) == 0) {
            capacity[worker] = { 1000 * below(17), 1024 * below(33), below(3) };
            planner.workerUpdated({ worker, "rack", capacity[worker], below(10) == 0 }, now);
        }
        TaskRequest request = batchTask("task-" + std::to_string(step), { 500 * (1 + below(8)), 512 * below(8), below(5) == 0 });
        request.isUrgent = below(10) == 0;
        request.team = "team-" + std::to_string(below(3));
        waiting[request.task] = request;
        planner.taskWaiting(request, now);
        if (below(3) == 0 && !running.empty()) {
            auto it = running.begin();
            planner.attemptEnded({ it->first, 1 }, AttemptState::Completed, now);
            running.erase(it);
        }
        if (below(5) == 0 && !waiting.empty()) {
            planner.taskRemoved(waiting.begin()->first);
            waiting.erase(waiting.begin());
        }
        Plan plan = planner.plan(now);
        for (const ImpossibleTask& it : plan.impossible)
            REQUIRE(waiting.erase(it.task) == 1);
        for (const Placement& it : plan.placements) {
            REQUIRE(waiting.contains(it.task));
            if (below(6) == 0) {
                planner.placementFailed(it.task, now);
                continue;
            }
            Running attempt { waiting[it.task], it.worker, it.reserved };
            waiting.erase(it.task);
            planner.attemptStarted({ it.task, 1 }, attempt.request, it.worker, it.reserved, now);
            running.emplace(it.task, attempt);
            Resources held;
            for (const auto& [task, one] : running) {
                if (one.worker == it.worker)
                    held += one.reserved;
            }
            REQUIRE(held.fitsIn(capacity[it.worker]));
        }
        REQUIRE(planner.waitingTasks() == waiting.size());
        REQUIRE(planner.runningTasks() == running.size());
    }
}

namespace {

    // A worker with one service and two batch tasks, whose samples report a given slowdown.
    class SharedWorker {
    public:
        explicit SharedWorker(bool hasGuards)
        {
            m_planner.workerUpdated({ "worker-0", "rack", { 32000, 128000, 0 }, false }, s_start);
            TaskRequest service = batchTask("executor", { 8000, 16000, 0 });
            service.kind = "quote";
            service.isService = true;
            service.hasGuards = hasGuards;
            m_planner.attemptStarted({ "executor", 1 }, service, "worker-0", service.declared, s_start);
            for (const char* it : { "noisy-1", "noisy-2" })
                m_planner.attemptStarted({ it, 1 }, batchTask(it, { 8000, 8000, 0 }), "worker-0", { 8000, 8000, 0 }, s_start);
        }

        // Advances the time with a report of the service every five seconds.
        void pass(std::int64_t seconds, std::uint32_t slowdownMilli, Milliseconds age = Milliseconds(10'000))
        {
            for (std::int64_t i = 0; i < seconds; ++i) {
                now += Milliseconds(1000);
                if (i % 5 == 0) {
                    AttemptReport report;
                    report.id = { "executor", 1 };
                    report.used = { 6000, 8000, 0 };
                    report.slowdownMilli = slowdownMilli;
                    report.sampleAge = age;
                    m_planner.sample(report, now);
                }
                Plan plan = m_planner.plan(now);
                for (const PolicyAction& it : plan.actions)
                    actions.push_back(it);
            }
        }

        std::uint32_t lastSpeed() const
        {
            for (auto it = actions.rbegin(); it != actions.rend(); ++it) {
                if (it->kind == PolicyActionKind::Throttle)
                    return it->throttlePercent;
            }
            return 100;
        }

        void endService() { m_planner.attemptEnded({ "executor", 1 }, AttemptState::Stopped, now); }

        // Advances the time with a report of one batch task every second.
        void passWithoutService(std::int64_t seconds)
        {
            for (std::int64_t i = 0; i < seconds; ++i) {
                now += Milliseconds(1000);
                AttemptReport report;
                report.id = { "noisy-1", 1 };
                report.used = { 1000, 1000, 0 };
                report.throttlePercent = lastSpeed();
                m_planner.sample(report, now);
                Plan plan = m_planner.plan(now);
                actions.insert(actions.end(), plan.actions.begin(), plan.actions.end());
            }
        }

        TimePoint now = s_start;
        std::vector<PolicyAction> actions;

    private:
        Planner m_planner { {} };
    };

} // namespace

TEST_CASE("neighbours of a service that misses its objective are throttled, and the reason is given")
{
    SharedWorker worker(true);
    worker.pass(60, 2200);
    REQUIRE(worker.lastSpeed() < 50);
    CHECK(worker.actions.front().event == EventId::TaskThrottled);
    CHECK(worker.actions.front().reason.find("executor") == 0);
}

TEST_CASE("neighbours that cause no slowdown reach full speed")
{
    SharedWorker worker(true);
    worker.pass(600, 1050);
    CHECK(worker.lastSpeed() == 100);
}

TEST_CASE("neighbours return to full speed after the service has ended")
{
    SharedWorker worker(true);
    worker.pass(60, 2200);
    REQUIRE(worker.lastSpeed() < 50);
    worker.endService();
    worker.passWithoutService(40);
    CHECK(worker.lastSpeed() == 100);
}

TEST_CASE("neighbours of an unguarded service are not throttled")
{
    SharedWorker worker(false);
    worker.pass(60, 2200);
    CHECK(worker.actions.empty());
}

TEST_CASE("a service that reports no slowdown throttles its neighbours for at most one minute")
{
    SharedWorker worker(true);
    worker.pass(30, 0);
    worker.pass(60, 0);
    CHECK(worker.lastSpeed() == 100);
}

TEST_CASE("speeds do not oscillate under a constant slowdown")
{
    SharedWorker worker(true);
    worker.pass(300, 1400);
    std::size_t settled = worker.actions.size();
    worker.pass(300, 1400);
    // At most one change per task and settling time of 25 s.
    CHECK(worker.actions.size() - settled <= 2 * 300 / 25);
}

TEST_CASE("an urgent task preempts the cheapest batch task and receives its capacity")
{
    Planner planner({});
    withWorkers(planner, 4, { 8000, 64000, 0 });
    for (int i = 0; i < 4; ++i) {
        TaskRequest request = batchTask("batch-" + std::to_string(i), { 8000, 1000, 0 });
        request.priority = i == 2 ? Priority::Low : Priority::High;
        planner.attemptStarted({ request.task, 1 }, request, "worker-" + std::to_string(i), request.declared, s_start);
    }
    TaskRequest urgent = batchTask("urgent", { 4000, 1000, 0 });
    urgent.kind = "quote/one";
    urgent.isUrgent = true;
    planner.taskWaiting(urgent, s_start);
    planner.taskWaiting(batchTask("other", { 4000, 1000, 0 }), s_start);
    Plan plan = planner.plan(s_start + Milliseconds(100));
    REQUIRE(plan.actions.size() == 1);
    CHECK(plan.actions[0].kind == PolicyActionKind::Evict);
    CHECK(plan.actions[0].event == EventId::TaskPreempted);
    CHECK(plan.actions[0].attempt.task == "batch-2");
    CHECK(plan.placements.empty());
    planner.attemptEnded({ "batch-2", 1 }, AttemptState::Stopped, s_start + Milliseconds(5000));
    plan = planner.plan(s_start + Milliseconds(5000));
    REQUIRE_FALSE(plan.placements.empty());
    CHECK(plan.placements[0].task == "urgent");
    CHECK(plan.placements[0].worker == "worker-2");
}

TEST_CASE("a worker on which every task fails is quarantined, probed and released")
{
    Planner planner({});
    withWorkers(planner, 10, { 8000, 64000, 0 });
    TimePoint now = s_start;
    int next = 0;
    int onBad = 0;
    bool isBad = true;
    std::vector<EventId> notices;
    for (int second = 0; second < 900; ++second) {
        now += Milliseconds(1000);
        isBad = second < 300;
        for (int i = 0; i < 3; ++i) {
            TaskRequest request = batchTask("task-" + std::to_string(next), { 2000, 1000, 0 });
            request.kind = "kind-" + std::to_string(next++ % 4);
            request.priority = Priority::Low;
            planner.taskWaiting(request, now);
        }
        Plan plan = planner.plan(now);
        for (const PolicyNotice& it : plan.notices)
            notices.push_back(it.event);
        for (const Placement& it : plan.placements) {
            onBad += isBad && it.worker == "worker-3";
            bool fails = isBad && it.worker == "worker-3";
            planner.attemptEnded({ it.task, 1 }, fails ? AttemptState::Failed : AttemptState::Completed, now);
        }
    }
    REQUIRE(notices == std::vector<EventId> { EventId::WorkerQuarantined, EventId::WorkerReleased });
    // Without quarantine the worker would have received about one task in ten, that is 90.
    CHECK(onBad < 20);
}

TEST_CASE("a task that failed on three healthy workers is impossible")
{
    Planner planner({});
    withWorkers(planner, 6, { 8000, 64000, 0 });
    TimePoint now = s_start;
    std::string reason;
    std::set<std::string> tried;
    for (int i = 0; i < 6 && reason.empty(); ++i) {
        now += Milliseconds(1000);
        planner.taskWaiting(batchTask("broken", { 1000, 1000, 0 }), now);
        Plan plan = planner.plan(now);
        if (!plan.impossible.empty())
            reason = plan.impossible[0].reason;
        for (const Placement& it : plan.placements) {
            CHECK(tried.insert(it.worker).second);
            planner.attemptEnded({ it.task, static_cast<std::uint32_t>(i + 1) }, AttemptState::Failed, now);
        }
    }
    CHECK(tried.size() == 3);
    CHECK_FALSE(reason.empty());
}

TEST_CASE("with a single worker a failing task is tried there three times")
{
    Planner planner({});
    withWorkers(planner, 1, { 8000, 64000, 0 });
    TimePoint now = s_start;
    std::size_t attempts = 0;
    std::size_t impossible = 0;
    for (std::uint32_t i = 1; i <= 5; ++i) {
        now += Milliseconds(1000);
        if (!impossible)
            planner.taskWaiting(batchTask("broken", { 1000, 1000, 0 }), now);
        Plan plan = planner.plan(now);
        impossible += plan.impossible.size();
        attempts += plan.placements.size();
        if (!plan.placements.empty())
            planner.attemptEnded({ "broken", i }, AttemptState::Failed, now);
    }
    CHECK(attempts == 3);
    CHECK(impossible == 1);
}

TEST_CASE("services of one kind are spread over racks")
{
    Planner planner({});
    withWorkers(planner, 6, { 32000, 128000, 0 });
    for (int i = 0; i < 3; ++i) {
        TaskRequest request = batchTask("executor-" + std::to_string(i), { 8000, 16000, 0 });
        request.isService = true;
        planner.taskWaiting(request, s_start);
    }
    std::map<std::string, int> racks;
    for (const Placement& it : planner.plan(s_start).placements)
        ++racks[std::to_string((it.worker.back() - '0') / 2)];
    REQUIRE(racks == std::map<std::string, int> { { "0", 1 }, { "1", 1 }, { "2", 1 } });
}

TEST_CASE("a task that fits no worker is impossible once the fleet is known")
{
    Planner planner({});
    withWorkers(planner, 3, { 32000, 128000, 0 });
    planner.taskWaiting(batchTask("huge", { 33000, 1, 0 }), s_start);
    REQUIRE(planner.plan(s_start).impossible.empty());
    Plan plan = planner.plan(s_start + Milliseconds(10'000));
    REQUIRE(plan.impossible.size() == 1);
    CHECK(plan.impossible[0].reason == "it asks for more than any worker has");
    CHECK(planner.waitingTasks() == 0);
}

TEST_CASE("teams stay within their quotas and share the rest by dominant share")
{
    Planner planner({});
    withWorkers(planner, 1, { 10000, 100000, 0 });
    planner.teamUpdated({ "capped", { 2000, 0, 0 }, 1 });
    for (int i = 0; i < 20; ++i) {
        for (const char* team : { "capped", "first", "second" }) {
            TaskRequest request = batchTask(team + std::to_string(i), { 1000, 1000, 0 });
            request.team = team;
            planner.taskWaiting(request, s_start);
        }
    }
    std::map<std::string, int> placed;
    for (const Placement& it : planner.plan(s_start).placements)
        ++placed[it.task.substr(0, it.task.find_first_of("0123456789"))];
    REQUIRE(placed == std::map<std::string, int> { { "capped", 2 }, { "first", 4 }, { "second", 4 } });
}

} // namespace plantainhold
