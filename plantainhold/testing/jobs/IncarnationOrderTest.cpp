// Tests that the order of an executor's incarnations does not come from their start times: a clock
// may be set back between them, or an entry may name any time.

#include "plantainhold/testing/jobs/SchedulerFixture.h"

#include <catch2/catch.hpp>

namespace plantainhold {

namespace {

    const TaskName s_task { "j", 0, 0, 0 };
    constexpr Milliseconds s_restartNoticed { 200 };

    // Starts job "j" on executor "x", in the incarnation that started at that time.
    void startOn(SchedulerFixture& fixture, std::int64_t startedUnixMs)
    {
        fixture.list("x", 8'000, startedUnixMs);
        fixture.report("x", {}, {}, startedUnixMs);
        fixture.accept(startJob(fixture));
        fixture.report("x", { { s_task, 1, {}, 50, 0 } }, {}, startedUnixMs);
    }

} // namespace

// LOST: the executor's clock had been set back, so its reports after a restart were taken for old ones.
// Its calls succeeded, so no lease expired, and the task was never started again.
TEST_CASE("a task is started again after its executor restarted with an earlier start time")
{
    SchedulerFixture fixture;
    startOn(fixture, 5'000);
    fixture.advance();
    fixture.report("x", {}, {}, 3'000);
    fixture.advance();
    fixture.report("x", {}, {}, 3'000);
    CHECK(startsWithin(fixture, s_restartNoticed) == 1);
}

// LOST: the list named the restart, with an earlier start time, and the entry was dropped: an executor that
// moved was never called at its new address.
TEST_CASE("an entry with an earlier start time tells the executor's new address")
{
    SchedulerFixture fixture;
    startOn(fixture, 5'000);
    fixture.list("x", 8'000, 3'000, "10.0.0.2:80");
    CHECK(fixture.scheduler().executor("x")->entry.address == "10.0.0.2:80");
}

// LOST: an entry named a start time far ahead. All that the executor said of itself was then older, and it
// got no work for the rest of its life.
TEST_CASE("an executor takes work although an entry named a start time far ahead")
{
    SchedulerFixture fixture;
    fixture.list("x", 8'000, 4'000'000'000'000'000);
    fixture.advance();
    fixture.report("x", {}, {}, 5'000);
    fixture.advance();
    fixture.report("x", {}, {}, 5'000);
    fixture.submit("j", 0, { SchedulerFixture::step(1, 1'000) });
    CHECK(startsWithin(fixture, s_restartNoticed) == 1);
}

// LOST: the record of the former owner named a later start time than the incarnation that is up.
TEST_CASE("a restored run ends although its record names a later start time than its executor")
{
    SchedulerFixture fixture;
    fixture.list("x", 8'000, 3'000);
    fixture.restore("j", { SchedulerFixture::step(1, 1'000) }, { JobState::Running, true, { { 0, 0, 0, 1, 0, false, "x", 5'000, {} } } });
    fixture.advance();
    fixture.report("x", {}, {}, 3'000);
    CHECK(startsWithin(fixture, s_restartNoticed) == 1);
}

// A response of a former incarnation that arrives late must not be taken for a restart, whatever its start time.
TEST_CASE("a late report of the former incarnation ends no run, also with a later start time")
{
    SchedulerFixture fixture;
    fixture.list("x", 8'000, 5'000);
    fixture.report("x", {}, {}, 5'000);
    fixture.advance();
    auto late = fixture.sendReportRequest("x");
    fixture.advance();
    fixture.report("x", {}, {}, 3'000);
    fixture.advance();
    fixture.report("x", {}, {}, 3'000);
    fixture.accept(startJob(fixture));
    fixture.report("x", { { s_task, 1, {}, 50, 0 } }, {}, 3'000);
    fixture.deliver("x", late, {}, 5'000);
    CHECK(fixture.scheduler().executor("x")->entry.startedUnixMs == 3'000);
    CHECK(startsWithin(fixture, Milliseconds(1'000)) == 0);
}

// A delayed write may put the entry of an incarnation back that is known to be gone.
TEST_CASE("an entry of an incarnation that another one has replaced changes nothing")
{
    SchedulerFixture fixture;
    startOn(fixture, 5'000);
    fixture.advance();
    fixture.report("x", {}, {}, 3'000);
    fixture.list("x", 8'000, 3'000, "10.0.0.2:80");
    fixture.list("x", 8'000, 5'000, "10.0.0.1:80");
    CHECK(fixture.scheduler().executor("x")->entry.address == "10.0.0.2:80");
}

// TWICE: with no order between start times, a 421 at the address of an old entry must not end the runs of the
// incarnation that the record names.
TEST_CASE("a response of another executor at a listed address ends no restored run of an unlisted incarnation")
{
    SchedulerFixture fixture;
    fixture.list("x", 8'000, 5'000);
    fixture.restore("j", { SchedulerFixture::step(1, 1'000) }, { JobState::Running, true, { { 0, 0, 0, 1, 0, false, "x", 3'000, {} } } });
    fixture.addExecutor("y", 8'000);
    fixture.advance(Milliseconds(1'500));
    auto [request, sentAt] = fixture.sendReportRequest("x");
    fixture.scheduler().reportFailed("x", request, { CommandResult::OtherIncarnation, SchedulerFixture::s_address, sentAt, {} }, fixture.now());
    CHECK(startsWithin(fixture, Milliseconds(2'000)) == 0);
}

} // namespace plantainhold
