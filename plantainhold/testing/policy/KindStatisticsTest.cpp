// Tests that observed use and run times replace the declared ones, and how eviction costs are weighed.

#include "plantainhold/policy/KindStatistics.h"
#include "plantainhold/policy/EvictionCost.h"
#include "plantainhold/policy/PolicyTask.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <random>

namespace plantainhold {

namespace {

    constexpr Resources s_declared { 8000, 16384, 1 };

} // namespace

TEST_CASE("the declared size applies until enough tasks were observed")
{
    KindStatistics statistics;
    CHECK(statistics.demandOf(0, s_declared) == s_declared);
    for (std::size_t i = 0; i < KindStatistics::s_minObservations; ++i)
        statistics.observeUse(0, { 2000, 4096, 0 });
    Resources demand = statistics.demandOf(0, s_declared);
    CHECK(demand.millicores >= 2000);
    CHECK(demand.millicores < 2500);
    CHECK(demand.memoryMib >= 4096);
    CHECK(demand.memoryMib < 5000);
    CHECK(demand.accelerators == 1);
    CHECK(statistics.demandOf(1, s_declared) == s_declared);
}

TEST_CASE("reserved memory covers the observed maximum and processors a high quantile")
{
    constexpr std::uint32_t s_seed = 8;
    INFO("seed " << s_seed);
    std::mt19937 random(s_seed);
    for (int round = 0; round < 100; ++round) {
        KindStatistics statistics;
        std::vector<std::int64_t> processors;
        std::int64_t most = 0;
        for (int i = 0; i < 30; ++i) {
            Resources used { 500 + static_cast<std::int64_t>(random() % 7000), 100 + static_cast<std::int64_t>(random() % 9000), 0 };
            statistics.observeUse(0, used);
            processors.push_back(used.millicores);
            most = std::max(most, used.memoryMib);
        }
        Resources demand = statistics.demandOf(0, s_declared);
        REQUIRE(demand.memoryMib >= most);
        auto covered = std::count_if(processors.begin(), processors.end(), [&](std::int64_t it) { return it <= demand.millicores; });
        REQUIRE(covered >= 27);
    }
}

TEST_CASE("a task that ran out of memory raises its kind's demand immediately")
{
    KindStatistics statistics;
    statistics.observeExhaustedMemory(0, s_declared.memoryMib);
    CHECK(statistics.demandOf(0, s_declared).memoryMib > s_declared.memoryMib);
    CHECK(statistics.demandOf(0, s_declared).millicores == s_declared.millicores);
}

TEST_CASE("run times are corrected by the observed ratio to the declared ones")
{
    KindStatistics statistics;
    CHECK(statistics.runTimeOf(0, Milliseconds(1000)) == Milliseconds(1000));
    for (int i = 0; i < 10; ++i)
        statistics.observeRunTime(0, Milliseconds(1000), Milliseconds(3000));
    CHECK(statistics.runTimeOf(0, Milliseconds(500)) == Milliseconds(1500));
}

TEST_CASE("the cost of an eviction grows with unsaved work, failed checkpoints and priority")
{
    KindStatistics statistics;
    EvictionCost cost(statistics);
    TimePoint start { std::chrono::hours(1) };
    PolicyTask task;
    task.kind = 1;
    task.priority = Priority::Low;
    task.startedAt = start;
    task.busyCores = 4;
    double early = cost.of(task, start + Milliseconds(60'000));
    double late = cost.of(task, start + Milliseconds(600'000));
    CHECK(early < late);
    for (int i = 0; i < 20; ++i)
        cost.observe(2, true);
    task.kind = 2;
    CHECK(cost.of(task, start + Milliseconds(600'000)) < late / 2);
    double low = cost.of(task, start);
    task.priority = Priority::High;
    CHECK(cost.of(task, start) > 2 * low);
}

} // namespace plantainhold
