// Tests of tasks that crash their executors some time after their start, when others have begun beside them.

#include "plantainhold/testing/jobs/SteadyFleet.h"

#include <catch2/catch.hpp>

namespace plantainhold {

namespace {

    // Later than CrashCounts::s_soonLimit, and than the time for which a suspect keeps others away.
    constexpr Milliseconds s_lateCrash { 600 };
    constexpr std::size_t s_executors = 8;
    const std::string s_deadly = "deadly";

} // namespace

// BUDGET: the crashes under one task, one after the other within 2 s, were taken for a common cause that explains
// them. So the task was never suspected and never parted from others.
TEST_CASE("a task that crashes one executor after the other some time after its start becomes a suspect")
{
    SteadyFleet fleet(s_executors);
    fleet.makeDeadly(s_deadly, s_lateCrash);
    fleet.fixture.submit(s_deadly, 0, { SchedulerFixture::step(1, 1'000) });
    fleet.run(Milliseconds(20'000));
    CHECK(fleet.crashes <= 5);
    CHECK(fleet.fixture.storedJob(s_deadly).state == JobState::Failed);
    CHECK(fleet.fixture.events().find(EventId::ExecutorSecluded).find("task=deadly.0.0.0") != std::string::npos);
}

// BUDGET: each crash took the runs of other tasks along, also those after the second, which should have parted them.
TEST_CASE("a task that crashes executors some time after its start takes no others along once two have crashed")
{
    SteadyFleet fleet(s_executors);
    fleet.makeDeadly(s_deadly, s_lateCrash);
    for (int i = 0; i < 4; ++i)
        fleet.fixture.submit("beside" + std::to_string(i), 0, { SchedulerFixture::step(4, 1'500) });
    fleet.fixture.submit(s_deadly, 0, { SchedulerFixture::step(1, 1'000) });
    while (fleet.crashes < 2)
        fleet.run(SteadyFleet::s_tick);
    const std::size_t lostBefore = fleet.lostRuns;
    fleet.run(Milliseconds(20'000));
    CHECK(fleet.lostRuns == lostBefore);
    for (int i = 0; i < 4; ++i)
        CHECK(fleet.fixture.storedJob("beside" + std::to_string(i)).state == JobState::Running);
}

// BUDGET: three tasks that crash their executors at the same time some time after their start explained each other's
// crashes. So none was ever suspected.
TEST_CASE("tasks that crash their executors together some time after their start become suspects")
{
    SteadyFleet fleet(s_executors);
    fleet.makeDeadly(s_deadly, s_lateCrash);
    StepSpec step = SchedulerFixture::step(3, 1'000);
    step.maxPerExecutor = 1;
    fleet.fixture.submit(s_deadly, 0, { step });
    fleet.run(Milliseconds(20'000));
    CHECK(fleet.fixture.storedJob(s_deadly).state == JobState::Failed);
    CHECK(fleet.fixture.events().find(EventId::ExecutorSecluded).find("task=deadly.0.0.") != std::string::npos);
}

} // namespace plantainhold
