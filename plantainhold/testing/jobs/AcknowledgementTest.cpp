// Tests that acknowledgements of ends reach only the incarnation of an executor that listed them.

#include "plantainhold/testing/jobs/SchedulerFixture.h"

#include <catch2/catch.hpp>

namespace plantainhold {

namespace {

    // Lists executor "x", lets it end a run well, and stores the end.
    void endOneRun(SchedulerFixture& fixture)
    {
        fixture.addExecutor("x", 8'000);
        fixture.submit("j", 0, { SchedulerFixture::step(1, 1'000) });
        fixture.accept(fixture.advance());
        fixture.report("x", {}, { { 1, { "j", 0, 0, 0 }, 1, EndKind::Done, {} } });
        fixture.advance();
    }

} // namespace

// An executor restarted in place, carried out a start and ended the run. The next report request
// acknowledged this end unseen, as its number was one of the former incarnation, and the task ran again.
TEST_CASE("a report request after a call without a response acknowledges no ends until the incarnation is known")
{
    SchedulerFixture fixture;
    endOneRun(fixture);
    auto [request, sentAt] = fixture.sendReportRequest("x");
    REQUIRE(request.ackCursor == 1);
    fixture.scheduler().reportFailed("x", request, { CommandResult::Unknown, SchedulerFixture::s_address, sentAt }, fixture.now());
    CHECK(fixture.sendReportRequest("x").first.ackCursor == 0);
    fixture.report("x", {}, { { 1, { "j", 0, 0, 0 }, 1, EndKind::Done, {} } });
    CHECK(fixture.sendReportRequest("x").first.ackCursor == 1);
}

// The acknowledgement that was sent to the former incarnation counted for the new one, so that an
// executor without runs was asked all the time, and its lease extended.
TEST_CASE("an executor that restarted is idle again although it had listed ends before")
{
    SchedulerFixture fixture;
    endOneRun(fixture);
    fixture.report("x", {}, {}, 2);
    fixture.advance();
    fixture.report("x", {}, {}, 2);
    CHECK(fixture.scheduler().isIdle("x"));
}

} // namespace plantainhold
