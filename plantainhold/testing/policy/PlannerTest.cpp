// Placement keeps to the ledger whatever the events are.

#include "plantainhold/policy/Planner.h"
#include "plantainhold/policy/Fleet.h"

#include <catch2/catch.hpp>
#include <map>
#include <random>

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
            planner.workerSeen({ "worker-" + std::to_string(i), "rack-" + std::to_string(i / workersPerRack), capacity, false }, s_start);
        return planner;
    }

} // namespace

TEST_CASE("a random history never gives a worker more than it has")
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
            planner.workerSeen({ worker, "rack", capacity[worker], below(10) == 0 }, now);
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
            planner.taskGone(waiting.begin()->first);
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

TEST_CASE("services of one kind spread over racks")
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

TEST_CASE("a task that fits no worker is impossible, once the fleet is known")
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

TEST_CASE("a team is held to its quota, and the smaller dominant share goes first")
{
    Planner planner({});
    withWorkers(planner, 1, { 10000, 100000, 0 });
    planner.teamSeen({ "capped", { 2000, 0, 0 }, 1 });
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
