// Tests of the time in which an executor has restarted in place and the owner cannot know it yet: the
// new incarnation accepts calls that are meant for the former one.

#include "plantainhold/jobs/ExecutorPort.h"
#include "plantainhold/testing/jobs/FakeExecutor.h"
#include "plantainhold/testing/jobs/SchedulerFixture.h"

#include <catch2/catch.hpp>

namespace plantainhold {

namespace {

    const TaskName s_task { "j", 0, 0, 0 };

} // namespace

// A new incarnation granted a start the longest lease, because its clock had started anew. The run was
// given up and begun elsewhere when the lease had expired on the former clock.
TEST_CASE("a run that no report has confirmed is kept for the longest lease that the platform grants")
{
    SchedulerFixture fixture;
    fixture.addExecutor("x", 8'000);
    fixture.submit("j", 0, { SchedulerFixture::step(1, 1'000) });
    fixture.answer(fixture.advance(), CommandResult::Accepted);
    fixture.addExecutor("y", 8'000);
    fixture.disconnect("x");
    CHECK(startsWithin(fixture, Milliseconds(5'900)) == 0);
    CHECK(startsWithin(fixture, Milliseconds(3'000)) == 1);
}

// A new incarnation discarded the end of a run, because the cursor that acknowledged ends of the former
// one covered it. The run had completed, and its task was begun again.
TEST_CASE("a report request after a start without a response acknowledges no ends")
{
    SchedulerFixture fixture;
    fixture.addExecutor("x", 8'000);
    fixture.submit("first", 0, { SchedulerFixture::step(1, 1'000) });
    fixture.accept(fixture.advance());
    fixture.report("x", {}, { { 1, { "first", 0, 0, 0 }, 1, EndKind::Done, {} } });
    fixture.reportAcknowledged("x");
    fixture.submit("second", 0, { SchedulerFixture::step(1, 1'000) });
    fixture.answer(fixture.advance(), CommandResult::Unknown);
    CHECK(fixture.scheduler().nextReport("x", fixture.now())->ackCursor == 0);
}

// A new incarnation granted a start the longest lease, because its clock had started anew. A report
// listed the run, which was then given up and begun elsewhere when the usual lease had expired.
TEST_CASE("a lease that an unseen incarnation granted to a start holds after the report that tells of the restart")
{
    SchedulerFixture fixture;
    fixture.addExecutor("x", 8'000);
    fixture.submit("j", 0, { SchedulerFixture::step(1, 1'000) });
    fixture.answer(fixture.advance(), CommandResult::Accepted);
    fixture.addExecutor("y", 8'000);
    fixture.report("x", { { { "j", 0, 0, 0 }, 1, {}, 50, 0 } }, {}, 2);
    fixture.disconnect("x");
    CHECK(startsWithin(fixture, Milliseconds(5'900)) == 0);
    CHECK(startsWithin(fixture, Milliseconds(3'000)) == 1);
}

// A new incarnation granted a report request the longest lease, which covers everything that runs there.
// A run that was begun afterwards was given up when the usual lease had expired.
TEST_CASE("a lease that an unseen incarnation granted to a report request holds for later runs")
{
    SchedulerFixture fixture;
    fixture.addExecutor("x", 8'000);
    fixture.submit("j", 0, { SchedulerFixture::step(1, 1'000) });
    fixture.accept(fixture.advance());
    auto call = fixture.sendReportRequest("x");
    REQUIRE(call.first.deadlineMs);
    fixture.deliver("x", call, {}, 2);
    fixture.report("x", {}, {}, 2);
    std::vector<ExecutorCommand> commands = fixture.advance();
    REQUIRE(starts(commands) == 1);
    fixture.accept(commands);
    fixture.addExecutor("y", 8'000);
    fixture.disconnect("x");
    CHECK(startsWithin(fixture, Milliseconds(5'900)) == 0);
    CHECK(startsWithin(fixture, Milliseconds(3'000)) == 1);
}

// A report request that acknowledged ends of a former incarnation arrived at the new one, after a start
// that was sent later. It discarded the end of the run before a report had listed it.
TEST_CASE("a report request that a later start overtakes acknowledges no end of a new incarnation")
{
    SchedulerFixture fixture;
    fixture.addExecutor("x", 8'000);
    fixture.submit("first", 0, { SchedulerFixture::step(1, 1'000) });
    fixture.accept(fixture.advance());
    fixture.report("x", {}, { { 1, { "first", 0, 0, 0 }, 1, EndKind::Done, {} } });
    fixture.advance();
    ReportRequest overtaken = fixture.sendReportRequest("x").first;
    fixture.submit("second", 0, { SchedulerFixture::step(1, 1'000) });
    std::vector<ExecutorCommand> commands = fixture.advance();
    REQUIRE(starts(commands) == 1);
    auto parameters = fixture.scheduler().prepareSend(commands[0], fixture.now());
    REQUIRE(parameters);

    FakeExecutor next({ "x", SchedulerFixture::s_address, 2, 0 }, { { 8'000, 64'000, 0 }, 1, 6'000 });
    REQUIRE(next.start({ commands[0].task, 1, 10, 10, { 1'000, 100, 0 } }, parameters->deadlineMs, parameters->token) == CommandResult::Accepted);
    next.advance(20);
    REQUIRE(next.hasEndsToReport());
    next.acceptReportRequest(overtaken);
    CHECK(next.hasEndsToReport());
}

// The urgent report request after a start without a response extended the lease of an incarnation that
// the owner did not know of. The run was given up when the start's own longest lease was over.
TEST_CASE("a report request extends the time for which a run is kept that an unseen incarnation may have")
{
    SchedulerFixture fixture;
    fixture.addExecutor("x", 8'000);
    std::vector<ExecutorCommand> commands = startJob(fixture);
    REQUIRE(fixture.scheduler().prepareSend(commands[0], fixture.now()));
    fixture.addExecutor("y", 8'000);
    fixture.advance(ExecutorPort::s_callTimeout);
    fixture.scheduler().commandFinished(commands[0], { CommandResult::Unknown, SchedulerFixture::s_address, fixture.now() - ExecutorPort::s_callTimeout, {} }, fixture.now());
    auto [request, sentAt] = fixture.sendReportRequest("x");
    REQUIRE(request.deadlineMs);
    // The request arrives just before its connection is closed.
    fixture.advance(ExecutorPort::s_callTimeout);
    fixture.scheduler().reportFailed("x", request, { CommandResult::Unknown, SchedulerFixture::s_address, sentAt, {} }, fixture.now());
    CHECK(startsWithin(fixture, Milliseconds(5'900)) == 0);
}

// A request that repeated an acknowledgement was under way when the executor restarted, and reached the
// new incarnation after it had ended a run. The end was discarded unseen, and the task ran again.
TEST_CASE("an acknowledgement that the executor has received is not repeated")
{
    SchedulerFixture fixture;
    fixture.addExecutor("x", 8'000);
    fixture.accept(startJob(fixture));
    fixture.report("x", {}, { { 1, s_task, 1, EndKind::Done, {} } });
    fixture.reportAcknowledged("x");
    CHECK(fixture.sendReportRequest("x").first.ackCursor == 0);
}

// An executor crashed while a start was under way, and another one has its address. The task waited for
// the longest lease, although no incarnation could have the run any more.
TEST_CASE("a response of another executor at the address of a start ends the run that it may have begun")
{
    SchedulerFixture fixture;
    fixture.addExecutor("x", 8'000);
    fixture.answer(startJob(fixture), CommandResult::Unknown);
    fixture.addExecutor("y", 8'000);
    fixture.advance();
    auto [request, sentAt] = fixture.sendReportRequest("x");
    fixture.scheduler().reportFailed("x", request, { CommandResult::OtherIncarnation, SchedulerFixture::s_address, sentAt, {} }, fixture.now());
    CHECK(startsWithin(fixture, Milliseconds(100)) == 1);
}

// The response had been sent before the start reached the executor, which took over the address later.
TEST_CASE("a response of another executor from before a start ends no run")
{
    SchedulerFixture fixture;
    fixture.addExecutor("x", 8'000);
    std::vector<ExecutorCommand> commands = startJob(fixture);
    REQUIRE(fixture.scheduler().prepareSend(commands[0], fixture.now()));
    auto [request, sentAt] = fixture.sendReportRequest("x");
    fixture.advance();
    fixture.scheduler().commandFinished(commands[0], { CommandResult::Unknown, SchedulerFixture::s_address, sentAt, {} }, fixture.now());
    fixture.addExecutor("y", 8'000);
    fixture.scheduler().reportFailed("x", request, { CommandResult::OtherIncarnation, SchedulerFixture::s_address, sentAt, {} }, fixture.now());
    CHECK(startsWithin(fixture, Milliseconds(1'000)) == 0);
}

// LOST: an incarnation that only the list names may have accepted starts whose result is not known. The longest lease
// that it may have granted was waited for by all runs of the executor, also by those that an earlier one had reported.
TEST_CASE("a run that reports have confirmed waits for no lease of an incarnation that only the list names")
{
    SchedulerFixture fixture;
    fixture.addExecutor("x", 8'000);
    fixture.accept(startJob(fixture));
    fixture.report("x", { { { "j", 0, 0, 0 }, 1, {}, 50, 0 } }, {});
    fixture.addExecutor("y", 8'000);
    fixture.advance();
    fixture.list("x", 8'000, 2);
    auto [request, sentAt] = fixture.sendReportRequest("x");
    fixture.scheduler().reportFailed("x", request, { CommandResult::Unknown, SchedulerFixture::s_address, sentAt, {} }, fixture.now());
    // The lease that was granted, with the margin for clocks, and no longer one.
    CHECK(startsWithin(fixture, Milliseconds(4'800)) == 1);
}

} // namespace plantainhold
