// Tests FleetLoad in a fleet that long-running tasks could fill while short tasks keep arriving.

#include "plantainhold/jobs/FleetLoad.h"
#include "plantainhold/jobs/ActiveExecutor.h"
#include "plantainhold/jobs/ActiveJob.h"

#include <array>
#include <catch2/catch.hpp>

namespace plantainhold {

namespace {

    constexpr TimePoint s_start { std::chrono::hours(1) };
    constexpr Resources s_longRunning { 6'000, 0, 0 };

    // Two executors of 10 cores.
    struct Fleet {
        Fleet()
        {
            for (ActiveExecutor& it : executors) {
                it.isListed = true;
                it.entry.capacity = { 10'000, 64'000, 0 };
            }
        }

        std::array<ActiveExecutor, 2> executors;
        std::array<ActiveExecutor*, 2> list { &executors[0], &executors[1] };
        FleetLoad load;
    };

} // namespace

TEST_CASE("long-running tasks may take what short tasks have not used for a while")
{
    Fleet fleet;
    fleet.load.update(fleet.list, {}, s_start);
    CHECK(fleet.load.leavesRoomForShortTasks(fleet.executors[0], s_longRunning));
    CHECK_FALSE(fleet.load.isMostlyReserved({}));
}

TEST_CASE("long-running tasks leave room for short tasks that keep arriving")
{
    Fleet fleet;
    // Short tasks use nine of twenty cores, and a long-running one six.
    fleet.executors[0].reserved = { 9'000, 0, 0 };
    fleet.executors[1].reserved = s_longRunning;
    fleet.executors[1].latencyCriticalMillicores = s_longRunning.millicores;
    for (int i = 0; i < 60; ++i)
        fleet.load.update(fleet.list, {}, s_start + std::chrono::seconds(i));
    CHECK_FALSE(fleet.load.leavesRoomForShortTasks(fleet.executors[1], { 4'000, 0, 0 }));
    CHECK(fleet.load.isMostlyReserved({}));
}

TEST_CASE("a placement within a round counts at once")
{
    Fleet fleet;
    fleet.load.update(fleet.list, {}, s_start);
    for (ActiveExecutor& it : fleet.executors) {
        fleet.load.remove(it);
        it.reserved = { 9'000, 0, 0 };
        it.latencyCriticalMillicores = 9'000;
        fleet.load.add(it);
    }
    CHECK_FALSE(fleet.load.leavesRoomForShortTasks(fleet.executors[0], { 1'000, 0, 0 }));
}

// Sums over all services spoke about each of them: a full service kept the room of an idle one.
TEST_CASE("the load of one service says nothing about another")
{
    Fleet fleet;
    fleet.executors[0].entry.service = "full";
    fleet.executors[0].reserved = { 10'000, 0, 0 };
    fleet.executors[1].entry.service = "idle";
    for (int i = 0; i < 60; ++i)
        fleet.load.update(fleet.list, {}, s_start + std::chrono::seconds(i));
    CHECK(fleet.load.isMostlyReserved("full"));
    CHECK_FALSE(fleet.load.isMostlyReserved("idle"));
    CHECK(fleet.load.isMostlyFree("idle"));
    CHECK_FALSE(fleet.load.isMostlyFree("full"));
    CHECK(fleet.load.leavesRoomForShortTasks(fleet.executors[1], s_longRunning));
}

TEST_CASE("an empty fleet holds nothing back for short tasks")
{
    FleetLoad load;
    load.update({}, {}, s_start);
    CHECK(load.leavesRoomForShortTasks(ActiveExecutor(), {}));
}

} // namespace plantainhold
