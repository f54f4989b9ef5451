// Tests of how much room, and for how long, tasks that may crash their executors can keep from others.

#include "plantainhold/testing/jobs/SteadyFleet.h"

#include <catch2/catch.hpp>

namespace plantainhold {

namespace {

    // How long a job with nothing running may wait beside room.
    constexpr Milliseconds s_maxWait { 3'000 };

    // Adds a job whose only task is a suspect: two executors have crashed under it.
    void restoreSuspect(SteadyFleet& fleet, const std::string& job)
    {
        TaskProgress task;
        task.run = 2;
        task.crashes.all = 2;
        fleet.fixture.restore(job, { SchedulerFixture::step(1, 1'000) }, { JobState::Running, true, { task } });
    }

} // namespace

// LOST: a suspect kept all others from its executor until its run had ended, or for 5 s and more.
TEST_CASE("a job starts in time beside a suspect that works on the only executor")
{
    SteadyFleet fleet(1);
    restoreSuspect(fleet, "suspect");
    REQUIRE(fleet.run(Milliseconds(500)) == 1);
    fleet.fixture.submit("j", 0, { SchedulerFixture::step(1, 1'000) });
    CHECK(fleet.run(s_maxWait) == 1);
}

// LOST: each suspect kept an executor to itself, so that together they kept the whole fleet.
TEST_CASE("many suspects keep at most an eighth of the executors to themselves")
{
    SteadyFleet fleet(16);
    for (int i = 0; i < 32; ++i)
        restoreSuspect(fleet, "suspect" + std::to_string(i));
    CHECK(fleet.run(s_maxWait) == 32);
    CHECK(fleet.mostSecluded > 0);
    CHECK(fleet.mostSecluded <= 2);
}

// LOST: where all executors of a rack crashed at once, and another time, each task there became a suspect.
TEST_CASE("executors that crash all at once make no suspects of the tasks there")
{
    SteadyFleet fleet(8);
    fleet.fixture.submit("j", 0, { SchedulerFixture::step(40, 1'000) });
    for (int i = 0; i < 3; ++i) {
        REQUIRE(fleet.run(Milliseconds(2'000)) == 40);
        fleet.crashAll();
    }
    CHECK(fleet.run(s_maxWait) == 40);
    CHECK(fleet.fixture.events().find(EventId::ExecutorSecluded).empty());
}

// LOST: a new owner took a run that had been at work for long as begun at the takeover, and suspected its task.
TEST_CASE("a run that was at work for seconds under the former owner is not suspected by the next one")
{
    SteadyFleet former(1);
    former.fixture.submit("j", 0, { SchedulerFixture::step(1, 1'000) });
    former.run(Milliseconds(8'000));
    SchedulerFixture next;
    next.list(SteadyFleet::nameOf(0), SteadyFleet::s_millicores, 1);
    next.takeOver("j", former.fixture.storedJob("j"));
    next.advance();
    next.list(SteadyFleet::nameOf(0), SteadyFleet::s_millicores, 2);
    next.report(SteadyFleet::nameOf(0), {}, {}, 2);
    next.advance();
    next.report(SteadyFleet::nameOf(0), {}, {}, 2);
    CHECK(next.events().find(EventId::RunLost).find("task=j.0.0.0") != std::string::npos);
    CHECK(next.events().find(EventId::TaskCrashedExecutor).empty());
}

} // namespace plantainhold
