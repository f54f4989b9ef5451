// Tests of executors whose capacity shrinks and grows while they run.

#include "plantainhold/testing/jobs/SchedulerFixture.h"

#include <catch2/catch.hpp>

namespace plantainhold {

namespace {

    // Counts the starts that are sent.
    std::size_t sent(SchedulerFixture& fixture, const std::vector<ExecutorCommand>& commands)
    {
        std::size_t n = 0;
        for (const ExecutorCommand& it : commands)
            n += it.kind == CommandKind::Start && fixture.scheduler().prepareSend(it, fixture.now());
        return n;
    }

} // namespace

// LIMIT: a start that was decided before the capacity shrank was sent after it, and brought an executor that
// does not enforce its capacity over it.
TEST_CASE("a start is not sent once the capacity has shrunk below what is reserved")
{
    SchedulerFixture fixture;
    fixture.addExecutor("x", 8'000);
    fixture.submit("j", 0, { SchedulerFixture::step(2, 3'000) });
    std::vector<ExecutorCommand> commands = fixture.advance();
    REQUIRE(starts(commands) == 2);
    fixture.list("x", 4'000, 1);
    CHECK(sent(fixture, commands) == 1);
}

// LIMIT: a run that is being stopped uses its room until its end is reported.
TEST_CASE("a run that is being stopped leaves no room for a start after the capacity shrank")
{
    SchedulerFixture fixture;
    fixture.addExecutor("x", 8'000);
    fixture.submit("first", 0, { SchedulerFixture::step(1, 3'000) });
    fixture.accept(fixture.advance());
    fixture.report("x", { { { "first", 0, 0, 0 }, 1, {}, 50, 0 } }, {});
    fixture.submit("second", 0, { SchedulerFixture::step(1, 3'000) });
    std::vector<ExecutorCommand> commands = fixture.advance();
    fixture.list("x", 4'000, 1);
    fixture.scheduler().cancel("first", fixture.now());
    CHECK(sent(fixture, commands) == 0);
}

// LOST: tasks that waited since a shrink must start once the capacity has grown again.
TEST_CASE("a task that waits since the capacity shrank starts once it has grown")
{
    SchedulerFixture fixture;
    fixture.addExecutor("x", 2'000);
    fixture.submit("j", 0, { SchedulerFixture::step(1, 3'000) });
    CHECK(startsWithin(fixture, Milliseconds(3'000)) == 0);
    fixture.list("x", 8'000, 1);
    CHECK(startsWithin(fixture, Milliseconds(200)) == 1);
}

} // namespace plantainhold
