// Tests that failures are attributed to faulty workers or faulty kinds of tasks, and that
// quarantine respects its ceiling and backs off.

#include "plantainhold/policy/FailureAttribution.h"
#include "plantainhold/policy/WorkerQuarantine.h"

#include <catch2/catch.hpp>
#include <random>

namespace plantainhold {

namespace {

    constexpr std::uint32_t s_seed = 3;
    constexpr TimePoint s_start { std::chrono::hours(1) };

} // namespace

TEST_CASE("failures are attributed to the worker or the kind that fails in all combinations")
{
    INFO("seed " << s_seed);
    std::mt19937 random(s_seed);
    constexpr unsigned s_workers = 20;
    constexpr unsigned s_kinds = 10;
    constexpr unsigned s_badWorker = 4;
    constexpr unsigned s_badKind = 7;
    FailureAttribution attribution;
    for (int i = 0; i < 1500; ++i) {
        WorkerSlot worker = random() % s_workers;
        NameId kind = random() % s_kinds;
        std::string task = "task-" + std::to_string(i);
        bool fails = worker == s_badWorker || kind == s_badKind || random() % 50 == 0;
        if (fails)
            attribution.failed(task, kind, worker);
        else
            attribution.completed(task, kind, worker);
    }
    for (WorkerSlot it = 0; it < s_workers; ++it)
        CHECK(attribution.isWorkerSuspect(it) == (it == s_badWorker));
    for (NameId it = 0; it < s_kinds; ++it)
        CHECK(attribution.isKindFailing(it) == (it == s_badKind));
}

TEST_CASE("many failures of a single kind make no worker suspect")
{
    FailureAttribution attribution;
    for (int i = 0; i < 200; ++i)
        attribution.failed("task-" + std::to_string(i), 1, static_cast<WorkerSlot>(i % 5));
    for (WorkerSlot it = 0; it < 5; ++it)
        CHECK_FALSE(attribution.isWorkerSuspect(it));
    CHECK(attribution.isKindFailing(1));
    attribution.completed("good", 1, 0);
    CHECK_FALSE(attribution.isKindFailing(1));
}

TEST_CASE("the workers on which a task failed are kept until it completes")
{
    FailureAttribution attribution;
    attribution.failed("task", 1, 2);
    attribution.failed("task", 1, 2);
    attribution.failed("task", 1, 3);
    CHECK(attribution.hasFailedOn("task", 2));
    CHECK_FALSE(attribution.hasFailedOn("task", 4));
    CHECK(attribution.failuresOnHealthyWorkers("task") == 3);
    attribution.completed("task", 1, 4);
    CHECK(attribution.failuresOnHealthyWorkers("task") == 0);
}

TEST_CASE("the quarantined share never exceeds its ceiling under random failures")
{
    INFO("seed " << s_seed);
    std::mt19937 random(s_seed);
    WorkerQuarantine quarantine;
    constexpr std::size_t s_live = 45;
    TimePoint now = s_start;
    for (int i = 0; i < 5000; ++i) {
        now += Milliseconds(random() % 30'000);
        WorkerSlot worker = random() % s_live;
        bool isIn = quarantine.quarantine(worker, s_live, now);
        REQUIRE(isIn == quarantine.isQuarantined(worker));
        REQUIRE(quarantine.size() <= WorkerQuarantine::ceiling(s_live));
        for (WorkerSlot it : quarantine.dueForProbe(now)) {
            quarantine.probeStarted(it);
            if (random() % 2)
                quarantine.probeFailed(it, now);
            else
                quarantine.probeSucceeded(it, now);
        }
    }
    CHECK(WorkerQuarantine::ceiling(3) == 1);
    CHECK(WorkerQuarantine::ceiling(3100) == 310);
}

TEST_CASE("failed probes back off and two successes in a row release the worker")
{
    WorkerQuarantine quarantine;
    REQUIRE(quarantine.quarantine(0, 10, s_start));
    CHECK(quarantine.dueForProbe(s_start).empty());
    TimePoint now = s_start + WorkerQuarantine::s_firstBackoff;
    REQUIRE(quarantine.dueForProbe(now).size() == 1);
    quarantine.probeStarted(0);
    CHECK(quarantine.dueForProbe(now).empty());
    quarantine.probeFailed(0, now);
    CHECK(quarantine.dueForProbe(now + WorkerQuarantine::s_firstBackoff).empty());
    now += 2 * WorkerQuarantine::s_firstBackoff;
    REQUIRE(quarantine.dueForProbe(now).size() == 1);
    quarantine.probeStarted(0);
    CHECK_FALSE(quarantine.probeSucceeded(0, now));
    quarantine.probeStarted(0);
    CHECK(quarantine.probeSucceeded(0, now));
    CHECK_FALSE(quarantine.isQuarantined(0));
}

} // namespace plantainhold
