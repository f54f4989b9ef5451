// Tests single decisions of JobScheduler, each under one pattern of load or messages.

#include "plantainhold/testing/jobs/SchedulerFixture.h"

#include <algorithm>
#include <catch2/catch.hpp>

namespace plantainhold {

TEST_CASE("an executor without work is idle until it gets some")
{
    SchedulerFixture fixture;
    fixture.addExecutor("x", 8'000);
    CHECK(fixture.scheduler().isIdle("x"));
    CHECK(fixture.scheduler().nextReport("x", fixture.now())->waitMs == 0);
    fixture.submit("j", 0, { SchedulerFixture::step(1, 1'000) });
    fixture.accept(fixture.advance());
    CHECK_FALSE(fixture.scheduler().isIdle("x"));
    CHECK(fixture.scheduler().nextReport("x", fixture.now())->waitMs > 0);
    fixture.report("x", {}, { { 1, { "j", 0, 0, 0 }, 1, EndKind::Done, {} } });
    // The end must still be recorded and acknowledged.
    CHECK_FALSE(fixture.scheduler().isIdle("x"));
    fixture.reportAcknowledged("x");
    CHECK(fixture.scheduler().isIdle("x"));
}

TEST_CASE("executors report more often while best-effort tasks run beside latency-critical ones")
{
    SchedulerFixture fixture;
    fixture.addExecutor("x", 16'000);
    StepSpec serving = SchedulerFixture::step(1, 8'000);
    serving.isLongRunning = true;
    serving.image = "serving";
    serving.targetTailMs = 10;
    fixture.submit("s", 0, { serving });
    fixture.accept(fixture.advance());
    CHECK(fixture.scheduler().nextReport("x", fixture.now())->waitMs == 1'000);
    StepSpec filling = SchedulerFixture::step(1, 2'000);
    filling.usesLeftoverCpu = true;
    filling.image = "filling";
    fixture.submit("f", 2, { filling });
    fixture.accept(fixture.advance());
    CHECK(fixture.scheduler().nextReport("x", fixture.now())->waitMs == 200);
}

TEST_CASE("a run that should not exist is stopped until it has ended, and its lease is not extended")
{
    SchedulerFixture fixture;
    fixture.addExecutor("x", 8'000);
    ReportedRun stray { { "ended-job", 0, 0, 0 }, 1, {}, 50, 0 };
    auto stops = [&](const std::vector<ExecutorCommand>& commands) {
        return std::count_if(commands.begin(), commands.end(), [](const ExecutorCommand& it) { return it.kind == CommandKind::Stop; });
    };
    fixture.report("x", { stray }, {});
    CHECK(stops(fixture.advance()) == 1);
    // A stop takes a moment. The executor is polled meanwhile as if it had work.
    fixture.report("x", { stray }, {});
    CHECK(stops(fixture.advance()) == 0);
    CHECK_FALSE(fixture.scheduler().isIdle("x"));
    CHECK_FALSE(fixture.scheduler().nextReport("x", fixture.now())->deadlineMs);
    // The first stop was lost.
    fixture.advance(Milliseconds(1'500));
    fixture.report("x", { stray }, {});
    CHECK(stops(fixture.advance()) == 1);
    fixture.report("x", {}, {});
    CHECK(fixture.scheduler().isIdle("x"));
}

TEST_CASE("a job whose tasks were all done when its owner died is completed by the next one")
{
    SchedulerFixture fixture;
    fixture.addExecutor("x", 8'000);
    TaskProgress first { 0, 0, 0, 1, 0, true };
    // Its first run completed after all, while a second one was being stopped.
    TaskProgress second { 0, 0, 1, 2, 0, true, "x", 1 };
    fixture.restore("j", { SchedulerFixture::step(2, 1'000) }, { JobState::Running, true, { first, second } });
    CHECK(starts(fixture.advance()) == 0);
    fixture.advance();
    CHECK(fixture.storedJob("j").state == JobState::Completed);
}

TEST_CASE("a job has not started until one of its tasks has, even if it was placed before")
{
    SchedulerFixture fixture;
    fixture.addExecutor("x", 8'000);
    fixture.submit("j", 0, { SchedulerFixture::step(1, 1'000) });
    std::vector<ExecutorCommand> commands = fixture.advance();
    REQUIRE(starts(commands) == 1);
    CHECK_FALSE(fixture.storedJob("j").hasStarted);
    fixture.answer(commands, CommandResult::Unavailable);
    fixture.advance();
    CHECK_FALSE(fixture.storedJob("j").hasStarted);
    commands = fixture.advance(Milliseconds(1'500));
    REQUIRE(starts(commands) == 1);
    fixture.answer(commands, CommandResult::Accepted);
    fixture.advance();
    CHECK(fixture.storedJob("j").hasStarted);
}

TEST_CASE("a job's first step starts in one advance, and the next step when the first is done")
{
    SchedulerFixture fixture;
    fixture.addExecutor("x", 8'000);
    StepSpec second = SchedulerFixture::step(1, 1'000);
    second.after = { 0 };
    fixture.submit("j", 0, { SchedulerFixture::step(2, 1'000), second });
    std::vector<ExecutorCommand> commands = fixture.advance();
    REQUIRE(starts(commands) == 2);
    fixture.accept(commands);
    fixture.report("x", { { { "j", 0, 0, 1 }, 1, {}, 50, 0 } }, { { 1, { "j", 0, 0, 0 }, 1, EndKind::Done, {} } });
    CHECK(starts(fixture.advance()) == 0);
    fixture.report("x", {}, { { 2, { "j", 0, 0, 1 }, 1, EndKind::Done, {} } });
    commands = fixture.advance();
    REQUIRE(starts(commands) == 1);
    CHECK(commands.back().task.step == 1);
}

TEST_CASE("long-running tasks that cannot be placed hold no capacity that short tasks could use")
{
    // One executor has free capacity, which is withheld from many long-running tasks in favour of
    // short ones.
    SchedulerFixture fixture;
    fixture.addExecutor("x", 32'000);
    StepSpec longRunning = SchedulerFixture::step(10, 6'000);
    longRunning.isLongRunning = true;
    fixture.submit("service", 0, { longRunning });
    for (int i = 0; i < 20; ++i)
        fixture.accept(fixture.advance(Milliseconds(100)));
    fixture.submit("quote", 0, { SchedulerFixture::step(1, 1'500) });
    CHECK(starts(fixture.advance(Milliseconds(100))) >= 1);
}

TEST_CASE("a long-running task that never ran does not preempt")
{
    SchedulerFixture fixture;
    fixture.addExecutor("x", 8'000);
    fixture.submit("batch", 2, { SchedulerFixture::step(8, 1'000) });
    std::vector<ExecutorCommand> commands = fixture.advance();
    REQUIRE(starts(commands) == 8);
    fixture.accept(commands);
    StepSpec longRunning = SchedulerFixture::step(1, 6'000);
    longRunning.isLongRunning = true;
    fixture.submit("service", 0, { longRunning });
    for (int i = 0; i < 20; ++i)
        CHECK(stops(fixture.advance(Milliseconds(100))) == 0);
}

TEST_CASE("an urgent task that does not fit preempts as few less urgent ones as needed")
{
    SchedulerFixture fixture;
    fixture.addExecutor("x", 8'000);
    fixture.submit("batch", 2, { SchedulerFixture::step(8, 1'000) });
    fixture.accept(fixture.advance());
    fixture.submit("quote", 0, { SchedulerFixture::step(1, 2'000) });
    std::size_t stopped = 0;
    for (int i = 0; i < 10; ++i)
        stopped += stops(fixture.advance(Milliseconds(50)));
    CHECK(stopped == 2);
}

TEST_CASE("a task that needs advice starts on an approved executor, with its ticket")
{
    SchedulerFixture fixture({ 0, true, {} }, true);
    fixture.addExecutor("x", 8'000);
    fixture.addExecutor("y", 8'000);
    fixture.submit("j", 0, { SchedulerFixture::step(2, 1'000) });
    CHECK(starts(fixture.advance()) == 0);
    std::vector<AdviceRequest> requests = fixture.scheduler().adviceRequests();
    REQUIRE(requests.size() == 1);
    CHECK(requests[0].executors.size() == 2);
    CHECK(fixture.scheduler().adviceRequests().empty());
    fixture.scheduler().adviceReceived(requests[0], { true, { { "y", "t-1" } }, Milliseconds(3'000) }, fixture.now());
    std::vector<ExecutorCommand> commands = fixture.advance();
    REQUIRE(starts(commands) == 2);
    CHECK(commands[0].executor == "y");
    CHECK(commands[0].ticket == "t-1");
}

TEST_CASE("advice without a response is requested again after a delay")
{
    SchedulerFixture fixture({ 0, true, {} }, true);
    fixture.addExecutor("x", 8'000);
    fixture.submit("j", 0, { SchedulerFixture::step(1, 1'000) });
    fixture.advance();
    AdviceRequest request = fixture.scheduler().adviceRequests().at(0);
    fixture.scheduler().adviceReceived(request, {}, fixture.now());
    fixture.advance();
    CHECK(fixture.scheduler().adviceRequests().empty());
    fixture.advance(Milliseconds(500));
    CHECK(fixture.scheduler().adviceRequests().size() == 1);
}

TEST_CASE("a start without a response is settled by a report under a higher token")
{
    SchedulerFixture fixture;
    fixture.addExecutor("x", 8'000);
    fixture.submit("j", 0, { SchedulerFixture::step(1, 1'000) });
    std::vector<ExecutorCommand> commands = fixture.advance();
    REQUIRE(starts(commands) == 1);
    std::uint64_t before = fixture.scheduler().prepareSend(commands[0], fixture.now())->token;
    fixture.scheduler().commandFinished(commands[0], { CommandResult::Unknown, SchedulerFixture::s_address, fixture.now(), {} }, fixture.now());
    CHECK(starts(fixture.advance()) == 0);
    std::optional<ReportRequest> request = fixture.scheduler().nextReport("x", fixture.now());
    CHECK(request->token > before);
    fixture.scheduler().reported("x", *request, { 1, 2'000, {}, {}, false }, { CommandResult::Accepted, SchedulerFixture::s_address, fixture.now(), {} }, fixture.now());
    commands = fixture.advance();
    REQUIRE(starts(commands) == 1);
    CHECK(commands[0].run == 2);
}

TEST_CASE("the release record bounds how long unresponsive executors keep their tasks")
{
    // Without the release record, the next owner waits for the longest lease and a grace period.
    for (bool isReleased : { true, false }) {
        OwnerTerm former { 2, isReleased, { { "gone", 1, 500 } } };
        SchedulerFixture fixture(former);
        fixture.addExecutor("x", 8'000);
        JobTable table;
        JobSpec spec;
        spec.queue = "q0";
        spec.steps = { SchedulerFixture::step(1, 1'000) };
        table.applySubmission(JobTable::submissionKey("j"), encodeSubmission(spec));
        // Of a run that nobody has seen yet, see TakeoverLeaseTest.
        TaskProgress seen { 0, 0, 0, 1, 0, false, "gone", 1, {} };
        seen.isRunSeen = true;
        table.applyProgress("j", encodeProgress({ JobState::Running, true, { seen } }), 1);
        fixture.scheduler().submit("j", *table.find("j"), fixture.now());
        CHECK(starts(fixture.advance(Milliseconds(300))) == 0);
        std::size_t soon = 0;
        for (int i = 0; i < 5; ++i)
            soon += starts(fixture.advance(Milliseconds(100)));
        CHECK(soon == (isReleased ? 1 : 0));
        std::size_t later = soon;
        for (int i = 0; i < 80; ++i)
            later += starts(fixture.advance(Milliseconds(100)));
        CHECK(later == 1);
    }
}

TEST_CASE("a job fails after its maximum of attempts, and only failures count as attempts")
{
    SchedulerFixture fixture;
    fixture.addExecutor("x", 8'000);
    fixture.submit("j", 0, { SchedulerFixture::step(1, 1'000) });
    EndKind kinds[] = { EndKind::LeaseLapsed, EndKind::Failed, EndKind::Stopped, EndKind::Failed };
    std::uint32_t run = 0;
    for (EndKind it : kinds) {
        std::vector<ExecutorCommand> commands;
        for (int i = 0; i < 50 && !starts(commands); ++i)
            commands = fixture.advance(Milliseconds(100));
        REQUIRE(starts(commands) == 1);
        fixture.accept(commands);
        ++run;
        fixture.report("x", {}, { { run, { "j", 0, 0, 0 }, run, it, {} } });
    }
    CHECK(starts(fixture.advance(Milliseconds(5'000))) == 0);
    CHECK(fixture.scheduler().activeJobs() == 0);
}

namespace {

    // Returns how many of its four tasks a best-effort job gets started in 2.8 s beside a
    // latency-critical task that each of them would slow down.
    std::size_t interferingStarts(std::int64_t latencyCriticalMillicores)
    {
        SchedulerFixture fixture;
        fixture.addExecutor("x", 32'000);
        fixture.scheduler().restoreLearned({ { { "sensitive", "heavy", { 0.5, 0.0001 } } }, {} });
        StepSpec sensitive = SchedulerFixture::step(1, latencyCriticalMillicores);
        sensitive.isLongRunning = true;
        sensitive.image = "sensitive";
        sensitive.targetTailMs = 18;
        fixture.submit("service", 0, { sensitive });
        fixture.accept(fixture.advance());
        StepSpec heavy = SchedulerFixture::step(4, 4'000);
        heavy.image = "heavy";
        heavy.usesLeftoverCpu = true;
        fixture.submit("batch", 2, { heavy });
        std::size_t started = 0;
        for (int i = 0; i < 28; ++i) {
            fixture.report("x", { { { "service", 0, 0, 0 }, 1, {}, 100, 15 } }, {});
            started += starts(fixture.advance(Milliseconds(100)));
        }
        return started;
    }

} // namespace

TEST_CASE("a job that interferes with every latency-critical task still gets one task placed")
{
    CHECK(interferingStarts(6'000) == 1);
}

TEST_CASE("while most of the capacity is reserved, a job that interferes with every latency-critical task waits")
{
    CHECK(interferingStarts(26'000) == 0);
}

TEST_CASE("a run that a former owner had slowed down is returned to full pace")
{
    SchedulerFixture fixture;
    fixture.addExecutor("x", 32'000);
    StepSpec bestEffort = SchedulerFixture::step(1, 4'000);
    bestEffort.image = "i";
    bestEffort.usesLeftoverCpu = true;
    JobTable table;
    JobSpec spec;
    spec.queue = "q2";
    spec.steps = { bestEffort };
    table.applySubmission(JobTable::submissionKey("j"), encodeSubmission(spec));
    table.applyProgress("j", encodeProgress({ JobState::Running, true, { { 0, 0, 0, 1, 0, false, "x", 1, {} } } }), 1);
    fixture.scheduler().submit("j", *table.find("j"), fixture.now());
    std::vector<ExecutorCommand> commands;
    for (int i = 0; i < 3; ++i) {
        fixture.report("x", { { { "j", 0, 0, 0 }, 1, {}, 40, 0 } }, {});
        for (ExecutorCommand& it : fixture.advance(Milliseconds(500)))
            commands.push_back(std::move(it));
    }
    REQUIRE(commands.size() == 1);
    CHECK(commands[0].kind == CommandKind::Pace);
    CHECK(commands[0].percent == 100);
}

TEST_CASE("an executor whose runs were given up is polled, and its completions count before it is listed again")
{
    // A data centre that was cut off is reachable again, and its executors are not in the list yet.
    SchedulerFixture fixture;
    fixture.addExecutor("x", 8'000);
    fixture.submit("j", 0, { SchedulerFixture::step(1, 1'000) });
    fixture.accept(fixture.advance());
    fixture.disconnect("x");
    CHECK(starts(fixture.advance(Milliseconds(6'000))) == 0);
    REQUIRE(fixture.scheduler().nextReport("x", fixture.now()));
    fixture.report("x", {}, { { 1, { "j", 0, 0, 0 }, 1, EndKind::Done, {} } });
    fixture.addExecutor("y", 8'000);
    CHECK(starts(fixture.advance()) == 0);
    fixture.advance();
    CHECK(fixture.storedJob("j").state == JobState::Completed);
}

TEST_CASE("an executor that stays unresponsive is removed after a while")
{
    SchedulerFixture fixture;
    fixture.addExecutor("x", 8'000);
    fixture.submit("j", 0, { SchedulerFixture::step(1, 1'000) });
    fixture.accept(fixture.advance());
    fixture.disconnect("x");
    fixture.advance(Milliseconds(6'000));
    fixture.advance(Milliseconds(10'000));
    CHECK(fixture.scheduler().executor("x") == nullptr);
}

TEST_CASE("an executor that was removed and is listed again gets a token above all that it has seen")
{
    // A data centre is cut off: the executor is unresponsive, unlisted and its lease expires; then
    // it returns.
    SchedulerFixture fixture;
    fixture.addExecutor("x1", 4'000);
    std::uint64_t seen = 0;
    // Commands without a response raise the token.
    for (int i = 0; i < 3; ++i) {
        fixture.submit("job-" + std::to_string(i), 0, { SchedulerFixture::step(1, 1'000) });
        std::vector<ExecutorCommand> commands = fixture.advance();
        REQUIRE(starts(commands) > 0);
        for (const ExecutorCommand& it : commands) {
            if (it.kind == CommandKind::Start && fixture.scheduler().prepareSend(it, fixture.now()))
                fixture.scheduler().commandFinished(it, { CommandResult::Unknown, SchedulerFixture::s_address, fixture.now(), {} }, fixture.now());
        }
        std::optional<ReportRequest> request = fixture.scheduler().nextReport("x1", fixture.now());
        REQUIRE(request);
        seen = std::max(seen, request->token);
        fixture.scheduler().reported("x1", *request, { 1, 1'000, {}, {}, false }, { CommandResult::Accepted, SchedulerFixture::s_address, fixture.now(), {} }, fixture.now());
    }
    fixture.scheduler().executorUnlisted("x1", fixture.now());
    std::optional<ReportRequest> lost = fixture.scheduler().nextReport("x1", fixture.now());
    fixture.scheduler().reportFailed("x1", *lost, { CommandResult::Unknown, SchedulerFixture::s_address, fixture.now(), {} }, fixture.now());
    fixture.advance(Milliseconds(8'000));
    REQUIRE(fixture.scheduler().executor("x1") == nullptr);
    ExecutorEntry entry;
    entry.id = "x1";
    entry.service = "service";
    entry.capacity = { 4'000, 64'000, 0 };
    entry.startedUnixMs = 1;
    fixture.scheduler().executorListed(entry, fixture.now());
    std::optional<ReportRequest> again = fixture.scheduler().nextReport("x1", fixture.now());
    REQUIRE(again);
    CHECK(again->token > seen);
}

TEST_CASE("a run that was given up but had completed makes its task done")
{
    // A data centre that was cut off returns after its work was restarted elsewhere.
    SchedulerFixture fixture;
    fixture.addExecutor("x1", 4'000);
    fixture.submit("job", 0, { SchedulerFixture::step(1, 1'000) });
    fixture.accept(fixture.advance());
    std::optional<ReportRequest> lost = fixture.scheduler().nextReport("x1", fixture.now());
    fixture.scheduler().reportFailed("x1", *lost, { CommandResult::Unknown, SchedulerFixture::s_address, fixture.now(), {} }, fixture.now());
    fixture.addExecutor("x2", 4'000);
    fixture.advance(Milliseconds(6'000));
    std::vector<ExecutorCommand> commands = fixture.advance();
    fixture.accept(commands);
    REQUIRE(fixture.scheduler().executor("x2")->runs.size() == 1);
    TaskName task { "job", 0, 0, 0 };
    fixture.report("x1", {}, { { 1, task, 1, EndKind::Done, {} } });
    commands = fixture.advance();
    CHECK(stops(commands) == 1);
    // No further run of the task is started, not even by the next owner.
    fixture.report("x2", {}, { { 1, task, 2, EndKind::Stopped, {} } });
    for (int i = 0; i < 5; ++i)
        CHECK(starts(fixture.advance(Milliseconds(200))) == 0);
    CHECK(fixture.scheduler().activeJobs() == 0);
}

// An earlier run's good end left the capacity reserved that was being freed for the task elsewhere.
TEST_CASE("a task that an earlier run completed reserves no capacity by preemption")
{
    SchedulerFixture fixture;
    fixture.addExecutor("x", 8'000);
    StepSpec second = SchedulerFixture::step(1, 100);
    second.after = { 0 };
    fixture.submit("j", 0, { SchedulerFixture::step(1, 8'000), second });
    std::vector<ExecutorCommand> commands = fixture.advance();
    fixture.accept(commands);
    fixture.report("x", { { { "j", 0, 0, 0 }, 1, {}, 50, 0 } }, {});
    fixture.addExecutor("y", 8'000);
    fixture.submit("low", 2, { SchedulerFixture::step(1, 8'000) });
    fixture.accept(fixture.advance());
    fixture.report("y", { { { "low", 0, 0, 0 }, 1, {}, 50, 0 } }, {});
    // Run 1 is given up with its lease; then the executor shows its end.
    std::optional<ReportRequest> request = fixture.scheduler().nextReport("x", fixture.now());
    fixture.scheduler().reportFailed("x", *request, { CommandResult::Unknown, SchedulerFixture::s_address, fixture.now(), {} }, fixture.now());
    for (int i = 0; i < 53; ++i) {
        fixture.advance(Milliseconds(100));
        fixture.report("y", { { { "low", 0, 0, 0 }, 1, {}, 50, 0 } }, {});
    }
    const ActiveExecutor& y = *fixture.scheduler().executor("y");
    REQUIRE(y.nominated.millicores == 8'000);
    fixture.report("x", {}, { { 1, { "j", 0, 0, 0 }, 1, EndKind::Done, {} } });
    CHECK(y.nominated.millicores == 0);
}

} // namespace plantainhold
