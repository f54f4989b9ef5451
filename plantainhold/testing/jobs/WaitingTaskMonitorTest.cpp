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

// With more waiting tasks than lines, the one that a rule bounds most tightly was left out.
TEST_CASE("of many waiting tasks a long-running one is reported first")
{
    SchedulerFixture fixture;
    fixture.list("x", 64'000, 1);
    for (int i = 0; i < 30; ++i)
        fixture.submit("short" + std::to_string(i), 0, { SchedulerFixture::step(1, 1'000) });
    StepSpec longRunning = SchedulerFixture::step(1, 1'000);
    longRunning.isLongRunning = true;
    fixture.submit("long", 0, { longRunning });
    startsWithin(fixture, Milliseconds(6'000));
    CHECK(fixture.events().find(EventId::TaskStalled).find("task=long.0.0.0") != std::string::npos);
}

// It could not be told from the log which executors suspects kept to themselves, nor for how long.
TEST_CASE("the log tells when a suspect keeps an executor to itself and when others are let in again")
{
    SchedulerFixture fixture;
    fixture.addExecutor("x", 8'000);
    TaskProgress suspect;
    suspect.run = 1;
    suspect.crashes = { 2, 0, 0 };
    fixture.restore("j", { SchedulerFixture::step(1, 1'000) }, { JobState::Running, true, { suspect } });
    fixture.accept(fixture.advance());
    CHECK(fixture.events().find(EventId::ExecutorSecluded).find("executor=x task=j.0.0.0") != std::string::npos);
    fixture.report("x", {}, { { 1, { "j", 0, 0, 0 }, 2, EndKind::Done, {} } });
    CHECK(fixture.events().find(EventId::ExecutorShared).find("executor=x task=j.0.0.0") != std::string::npos);
}

// It could not be told from the log for whose lease a task waited after a takeover.
TEST_CASE("the log tells for which lease a new owner waits where an executor does not respond")
{
    SchedulerFixture fixture;
    fixture.list("x", 8'000, 1);
    fixture.restore("j", { SchedulerFixture::step(1, 1'000) }, { JobState::Running, true, { { 0, 0, 0, 1, 0, false, "x", 1, {}, {} } } });
    fixture.disconnect("x");
    CHECK(fixture.events().find(EventId::LeaseAwaited).find("executor=x runs=1") != std::string::npos);
}

} // namespace plantainhold
