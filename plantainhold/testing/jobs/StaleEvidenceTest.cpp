// Tests that evidence about an earlier moment, an earlier incarnation of an executor or an earlier
// owner is not applied to the present one: no run is given up while it may go on.

#include "plantainhold/testing/jobs/SchedulerFixture.h"

#include <catch2/catch.hpp>

namespace plantainhold {

namespace {

    const TaskName s_task { "j", 0, 0, 0 };

    ReportedRun run(std::uint32_t number)
    {
        return { s_task, number, {}, 50, 0 };
    }

    // Adds a job whose run a former owner stored, on an incarnation of executor "x".
    void restoreJob(SchedulerFixture& fixture, std::int64_t startedUnixMs)
    {
        TaskProgress task { 0, 0, 0, 1, 0, false, "x", startedUnixMs };
        fixture.restore("j", { SchedulerFixture::step(1, 1'000) }, { JobState::Running, true, { task } });
    }

    // Start times of the incarnations that the list and the record name.
    struct Incarnations {
        std::int64_t listed = 0;
        std::int64_t recorded = 0;
    };

    // Checks that the next owner starts nothing before the newer incarnation has reported the run, and
    // keeps it then.
    void checkRestoredRunIsKept(const Incarnations& incarnations)
    {
        SchedulerFixture fixture({ 2, false, {} });
        fixture.list("x", 8'000, incarnations.listed);
        fixture.addExecutor("y", 8'000);
        restoreJob(fixture, incarnations.recorded);
        CHECK(startsWithin(fixture, Milliseconds(1'000)) == 0);
        fixture.report("x", { run(1) }, {}, 2);
        std::vector<ExecutorCommand> commands = fixture.advance();
        CHECK(starts(commands) == 0);
        CHECK(stops(commands) == 0);
    }

} // namespace

// A response from the executor's former address ended a run at its present one, so that it ran twice.
TEST_CASE("a run survives a response of another executor at a former address")
{
    SchedulerFixture fixture;
    fixture.addExecutor("x", 8'000);
    ReportRequest stale = fixture.sendReportRequest("x").first;
    TimePoint sentAt = fixture.now();
    fixture.list("x", 8'000, 2, "10.0.0.2:80");
    fixture.report("x", {}, {}, 2);
    fixture.accept(startJob(fixture));
    fixture.addExecutor("y", 8'000);
    fixture.scheduler().reportFailed("x", stale, { CommandResult::OtherIncarnation, SchedulerFixture::s_address, sentAt, {} }, fixture.now());
    CHECK(startsWithin(fixture, Milliseconds(1'000)) == 0);
    fixture.report("x", { run(1) }, {}, 2);
    CHECK(stops(fixture.advance()) == 0);
}

// An entry that named a wrong address for a while ended a run on an executor that was up.
TEST_CASE("a run survives a response of another executor until its lease has expired")
{
    SchedulerFixture fixture;
    fixture.addExecutor("x", 8'000);
    fixture.accept(startJob(fixture));
    fixture.report("x", { run(1) }, {});
    fixture.addExecutor("y", 8'000);
    fixture.list("x", 8'000, 1, "10.0.0.2:80");
    auto [request, sentAt] = fixture.sendReportRequest("x");
    fixture.scheduler().reportFailed("x", request, { CommandResult::OtherIncarnation, "10.0.0.2:80", sentAt, {} }, fixture.now());
    CHECK(startsWithin(fixture, Milliseconds(4'000)) == 0);
    CHECK(startsWithin(fixture, Milliseconds(1'500)) == 1);
}

// The tasks of an executor that had crashed waited for its lease although another one had its address.
TEST_CASE("a response of another executor at the address of the last report ends the runs that it listed")
{
    SchedulerFixture fixture;
    fixture.addExecutor("x", 8'000);
    fixture.accept(startJob(fixture));
    fixture.report("x", { run(1) }, {});
    fixture.addExecutor("y", 8'000);
    auto [request, sentAt] = fixture.sendReportRequest("x");
    fixture.scheduler().reportFailed("x", request, { CommandResult::OtherIncarnation, SchedulerFixture::s_address, sentAt, {} }, fixture.now());
    CHECK(startsWithin(fixture, Milliseconds(100)) == 1);
}

// An executor took over the address of a crashed one. A response of the crashed one ended its runs.
TEST_CASE("a run survives a response of the executor that had its address before")
{
    SchedulerFixture fixture;
    fixture.list("x", 8'000, 1);
    auto [request, sentAt] = fixture.sendReportRequest("x");
    fixture.advance();
    fixture.report("x", {}, {});
    fixture.accept(startJob(fixture));
    fixture.report("x", { run(1) }, {});
    fixture.addExecutor("y", 8'000);
    fixture.scheduler().reportFailed("x", request, { CommandResult::OtherIncarnation, SchedulerFixture::s_address, sentAt, {} }, fixture.now());
    CHECK(startsWithin(fixture, Milliseconds(1'000)) == 0);
}

// A start that another executor refused was never carried out, but its task waited for the lease.
TEST_CASE("a start that another executor refused is placed again at once")
{
    SchedulerFixture fixture;
    fixture.addExecutor("x", 8'000);
    fixture.answer(startJob(fixture), CommandResult::OtherIncarnation);
    fixture.addExecutor("y", 8'000);
    CHECK(startsWithin(fixture, Milliseconds(500)) == 1);
}

// Of two reports, the one that was executed before the start arrived last, and the run was begun twice.
TEST_CASE("a report that was executed before the start proves nothing, even if it arrives last")
{
    SchedulerFixture fixture;
    fixture.addExecutor("x", 8'000);
    auto regular = fixture.sendReportRequest("x");
    fixture.advance();
    auto urgent = fixture.sendReportRequest("x");
    std::vector<ExecutorCommand> commands = startJob(fixture);
    REQUIRE(fixture.scheduler().prepareSend(commands[0], fixture.now()));
    fixture.advance();
    fixture.addExecutor("y", 8'000);
    fixture.deliver("x", regular, { run(1) });
    fixture.deliver("x", urgent, {});
    CHECK(startsWithin(fixture, Milliseconds(1'000)) == 0);
    fixture.report("x", { run(1) }, {});
    CHECK(stops(fixture.advance()) == 0);
}

// A run that had ended unseen was waited for until its lease expired.
TEST_CASE("a report that was sent after a run was confirmed proves that it is gone")
{
    SchedulerFixture fixture;
    fixture.addExecutor("x", 8'000);
    fixture.accept(startJob(fixture));
    fixture.report("x", { run(1) }, {});
    fixture.advance();
    fixture.report("x", {}, {});
    CHECK(starts(fixture.advance()) == 1);
}

// An executor restarted in place and accepted a start that was meant for its former incarnation. The
// report that told of the restart ended all runs there, also this one, and it ran twice.
TEST_CASE("a run that the new incarnation of an executor reports is kept")
{
    SchedulerFixture fixture;
    fixture.addExecutor("x", 8'000);
    fixture.answer(startJob(fixture), CommandResult::Accepted);
    fixture.addExecutor("y", 8'000);
    fixture.report("x", { run(1) }, {}, 2);
    std::vector<ExecutorCommand> commands = fixture.advance();
    CHECK(starts(commands) == 0);
    CHECK(stops(commands) == 0);
    fixture.report("x", {}, { { 1, s_task, 1, EndKind::Done, {} } }, 2);
    fixture.advance();
    CHECK(fixture.storedJob("j").state == JobState::Completed);
}

// As above, with the restart seen in the list of executors first.
TEST_CASE("a restart in the list of executors ends no run that the new incarnation may have")
{
    SchedulerFixture fixture;
    fixture.addExecutor("x", 8'000);
    std::vector<ExecutorCommand> commands = startJob(fixture);
    REQUIRE(fixture.scheduler().prepareSend(commands[0], fixture.now()));
    fixture.addExecutor("y", 8'000);
    fixture.list("x", 8'000, 2);
    CHECK(startsWithin(fixture, Milliseconds(500)) == 0);
    fixture.scheduler().commandFinished(commands[0], { CommandResult::Unknown, SchedulerFixture::s_address, fixture.now(), {} }, fixture.now());
    fixture.report("x", { run(1) }, {}, 2);
    commands = fixture.advance();
    CHECK(starts(commands) == 0);
    CHECK(stops(commands) == 0);
}

// The runs of an executor that crashed and restarted waited for their lease.
TEST_CASE("a report of the new incarnation ends the runs that it does not list")
{
    SchedulerFixture fixture;
    fixture.addExecutor("x", 8'000);
    fixture.accept(startJob(fixture));
    fixture.report("x", { run(1) }, {});
    fixture.advance();
    fixture.list("x", 8'000, 2);
    fixture.report("x", {}, {}, 2);
    CHECK(starts(fixture.advance()) == 1);
}

// The executor's clock starts anew with it. A lease that was computed on the former clock lasts for as
// long as the platform allows, and its run was given up before.
TEST_CASE("a run that a new incarnation may have is kept for the longest lease that the platform grants")
{
    SchedulerFixture fixture;
    fixture.addExecutor("x", 8'000);
    std::vector<ExecutorCommand> commands = startJob(fixture);
    REQUIRE(fixture.scheduler().prepareSend(commands[0], fixture.now()));
    fixture.addExecutor("y", 8'000);
    fixture.list("x", 8'000, 2);
    fixture.scheduler().commandFinished(commands[0], { CommandResult::Unknown, SchedulerFixture::s_address, fixture.now(), {} }, fixture.now());
    CHECK(startsWithin(fixture, Milliseconds(5'900)) == 0);
    // The start may have reached the executor up to a call's timeout after it was sent.
    CHECK(startsWithin(fixture, Milliseconds(1'500)) == 1);
}

// The list of executors lagged behind the record. The new owner took the lease for expired at once.
TEST_CASE("a run on an incarnation that is not listed yet is kept by the next owner")
{
    checkRestoredRunIsKept({ .listed = 1, .recorded = 2 });
}

// The former owner did not know yet that the executor had restarted when it recorded the run.
TEST_CASE("a run that was recorded for a former incarnation is kept by the next owner until a report")
{
    checkRestoredRunIsKept({ .listed = 2, .recorded = 1 });
}

// A report that was requested while the start was under way ended its run: the executor had carried out the
// request, restarted, and then accepted the start, as it had seen no token.
TEST_CASE("a report that was requested while a start was under way is no proof that it never started")
{
    SchedulerFixture fixture;
    fixture.addExecutor("x", 8'000);
    fixture.submit("other", 0, { SchedulerFixture::step(1, 1'000) });
    std::vector<ExecutorCommand> other = fixture.advance();
    REQUIRE(starts(other) == 1);
    std::vector<ExecutorCommand> commands = startJob(fixture);
    TimePoint startedAt = fixture.now();
    REQUIRE(fixture.scheduler().prepareSend(commands[0], startedAt));
    fixture.answer(other, CommandResult::Unknown);
    auto report = fixture.sendReportRequest("x");
    REQUIRE(report.first.token > fixture.scheduler().executor("x")->confirmedToken);
    fixture.addExecutor("y", 8'000);
    fixture.advance(Milliseconds(900));
    fixture.scheduler().commandFinished(commands[0], { CommandResult::Unknown, SchedulerFixture::s_address, startedAt, {} }, fixture.now());
    fixture.deliver("x", report, {});
    // Only the other start was certainly over when the report was requested.
    CHECK(startsWithin(fixture, Milliseconds(1'000)) == 1);
}

// A response of the executor that had the address before took the present one out of the list for ever.
TEST_CASE("a stale response of another executor leaves an executor that has reported since in the list")
{
    SchedulerFixture fixture;
    fixture.list("x", 8'000, 1);
    auto [request, sentAt] = fixture.sendReportRequest("x");
    fixture.advance();
    fixture.report("x", {}, {});
    fixture.scheduler().reportFailed("x", request, { CommandResult::OtherIncarnation, SchedulerFixture::s_address, sentAt, {} }, fixture.now());
    fixture.report("x", {}, {});
    fixture.submit("j", 0, { SchedulerFixture::step(1, 1'000) });
    CHECK(startsWithin(fixture, Milliseconds(3'000)) == 1);
}

} // namespace plantainhold
