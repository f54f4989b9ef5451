// Tests of the log lines about tasks that wait although executors have room.

#include "plantainhold/testing/jobs/SchedulerFixture.h"

#include <catch2/catch.hpp>

namespace plantainhold {

// A task that could run did not, and no log line told what kept it from the executors with room.
TEST_CASE("a task that waits although an executor has room is reported with its obstacle")
{
    SchedulerFixture fixture;
    fixture.list("x", 8'000, 1);
    fixture.submit("j", 0, { SchedulerFixture::step(1, 1'000) });
    CHECK(startsWithin(fixture, Milliseconds(2'000)) == 0);
    CHECK(fixture.events().find(EventId::TaskStalled).empty());
    CHECK(startsWithin(fixture, Milliseconds(4'000)) == 0);
    CHECK(fixture.events().find(EventId::TaskStalled).find("obstacles=unconfirmed:1") != std::string::npos);
}

// With no room anywhere, waiting is in order.
TEST_CASE("a task that waits for room is not reported")
{
    SchedulerFixture fixture;
    fixture.addExecutor("x", 500);
    fixture.submit("j", 0, { SchedulerFixture::step(1, 1'000) });
    CHECK(startsWithin(fixture, Milliseconds(6'000)) == 0);
    CHECK(fixture.events().find(EventId::TaskStalled).empty());
}

// A start that nobody confirms kept its task waiting, without a line about it.
TEST_CASE("a run whose start stays without a result is reported")
{
    SchedulerFixture fixture;
    fixture.addExecutor("x", 8'000);
    startJob(fixture);
    startsWithin(fixture, Milliseconds(6'000));
    CHECK(fixture.events().find(EventId::StartStalled).find("phase=starting") != std::string::npos);
}

} // namespace plantainhold
