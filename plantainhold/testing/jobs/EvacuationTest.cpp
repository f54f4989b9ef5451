// Tests of data centres that the operator evacuates and takes back: EVAC, a task was started in a data centre
// seconds after its evacuation.

#include "plantainhold/jobs/EvacuationTable.h"
#include "plantainhold/testing/jobs/SchedulerFixture.h"

#include <catch2/catch.hpp>

namespace plantainhold {

namespace {

    constexpr std::string_view s_here = "d1";
    constexpr std::string_view s_there = "d2";

    // What the operator has written, and a scheduler that follows it.
    struct World {
        SchedulerFixture fixture;
        EvacuationTable table;
        std::uint64_t offset = 1;

        void write(std::string_view dataCentre, bool isEvacuated)
        {
            table.apply(dataCentre, isEvacuated, offset++);
            fixture.scheduler().evacuate(table, fixture.now());
        }
        // Returns how many starts are sent to the executor within the time.
        std::size_t sentTo(std::string_view executor, Milliseconds time)
        {
            constexpr Milliseconds s_step { 100 };
            std::size_t n = 0;
            for (Milliseconds passed { 0 }; passed < time; passed += s_step)
                n += sent(executor, fixture.advance(s_step));
            return n;
        }
        std::size_t sent(std::string_view executor, const std::vector<ExecutorCommand>& commands)
        {
            std::size_t n = 0;
            for (const ExecutorCommand& it : commands) {
                if (it.kind == CommandKind::Start && fixture.scheduler().prepareSend(it, fixture.now()))
                    n += it.executor == executor;
            }
            return n;
        }
    };

    StepSpec fillingStep()
    {
        StepSpec step = SchedulerFixture::step(3, 2'000);
        step.usesLeftoverCpu = true;
        step.image = "i";
        return step;
    }

    StepSpec lastingStep()
    {
        StepSpec step = SchedulerFixture::step(1, 2'000);
        step.isLongRunning = true;
        return step;
    }

    constexpr Milliseconds s_long { 6'000 };

} // namespace

TEST_CASE("nothing of any kind is placed in an evacuated data centre, and all of it once it is taken back")
{
    StepSpec gang = SchedulerFixture::step(2, 500);
    gang.isGang = true;
    // Best-effort tasks are placed under relaxed conditions once they have waited.
    for (const StepSpec& it : { SchedulerFixture::step(3, 500), fillingStep(), lastingStep(), gang }) {
        World world;
        world.fixture.addExecutor("x", 8'000, s_here);
        world.write(s_here, true);
        world.fixture.submit("j", 0, { it });
        CHECK(world.sentTo("x", s_long) == 0);
        world.write(s_here, false);
        CHECK(world.sentTo("x", Milliseconds(200)) == it.taskCount);
    }
}

TEST_CASE("tasks go to the other data centres meanwhile, also to one whose executors appear later")
{
    World world;
    world.write(s_here, true);
    world.fixture.addExecutor("x", 8'000, s_here);
    world.fixture.addExecutor("y", 8'000, s_there);
    world.fixture.submit("j", 0, { SchedulerFixture::step(4, 500) });
    std::vector<ExecutorCommand> commands = world.fixture.advance();
    CHECK(starts(commands) == 4);
    CHECK(world.sent("y", commands) == 4);
}

TEST_CASE("a start that is recorded and not sent when its data centre is evacuated goes elsewhere")
{
    World world;
    world.fixture.addExecutor("x", 8'000, s_here);
    world.fixture.submit("j", 0, { SchedulerFixture::step(1, 500) });
    std::vector<ExecutorCommand> commands = world.fixture.advance();
    REQUIRE(starts(commands) == 1);
    world.fixture.addExecutor("y", 8'000, s_there);
    world.write(s_here, true);
    CHECK(world.sent("x", commands) == 0);
    CHECK(world.sentTo("y", Milliseconds(200)) == 1);
}

TEST_CASE("a start whose record is being written when its data centre is evacuated is not sent")
{
    World world;
    JobScheduler& scheduler = world.fixture.scheduler();
    world.fixture.addExecutor("x", 8'000, s_here);
    world.fixture.submit("j", 0, { SchedulerFixture::step(1, 500) });
    scheduler.advance(world.fixture.now(), 0);
    CommitBatch batch = scheduler.takeBatch(world.fixture.now());
    REQUIRE(batch.starts.size() == 1);
    world.write(s_here, true);
    scheduler.committed(batch, world.fixture.now());
    CHECK(scheduler.takeCommands().empty());
    CHECK(world.sentTo("x", Milliseconds(500)) == 0);
}

TEST_CASE("a start that was sent goes on, as does what runs, and nothing is stopped")
{
    World world;
    world.fixture.addExecutor("x", 8'000, s_here);
    world.fixture.addExecutor("y", 8'000, s_there);
    world.fixture.submit("j", 0, { SchedulerFixture::step(1, 500), lastingStep() });
    world.fixture.accept(world.fixture.advance());
    std::size_t runs = world.fixture.scheduler().executor("x")->runs.size() + world.fixture.scheduler().executor("y")->runs.size();
    REQUIRE(runs == 2);
    world.write(s_here, true);
    CHECK(world.fixture.advance().empty());
    CHECK(world.fixture.scheduler().executor("x")->runs.size() + world.fixture.scheduler().executor("y")->runs.size() == runs);
}

TEST_CASE("a gang with an unsent member in an evacuated data centre is taken back as a whole")
{
    World world;
    world.fixture.addExecutor("x", 1'000, s_here);
    world.fixture.addExecutor("y", 1'000, s_there);
    StepSpec gang = SchedulerFixture::step(2, 1'000);
    gang.isGang = true;
    world.fixture.submit("j", 0, { gang });
    std::vector<ExecutorCommand> commands = world.fixture.advance();
    REQUIRE(starts(commands) == 2);
    world.write(s_here, true);
    CHECK(world.sent("x", commands) + world.sent("y", commands) == 0);
    world.fixture.addExecutor("z", 1'000, s_there);
    CHECK(starts(world.fixture.advance()) == 2);
}

TEST_CASE("nothing is preempted in an evacuated data centre, and no room stays nominated there")
{
    World world;
    world.fixture.addExecutor("x", 8'000, s_here);
    world.fixture.submit("low", 2, { SchedulerFixture::step(1, 8'000) });
    world.fixture.accept(world.fixture.advance());
    world.fixture.report("x", { { { "low", 0, 0, 0 }, 1, {}, 50, 0 } }, {});
    SECTION("before")
    {
        world.write(s_here, true);
        world.fixture.submit("high", 0, { SchedulerFixture::step(1, 4'000) });
        for (int i = 0; i < 10; ++i)
            CHECK(stops(world.fixture.advance(Milliseconds(100))) == 0);
    }
    SECTION("meanwhile")
    {
        world.fixture.submit("high", 0, { SchedulerFixture::step(1, 4'000) });
        std::size_t stopped = stops(world.fixture.advance()) + stops(world.fixture.advance(Milliseconds(100)));
        REQUIRE(stopped == 1);
        REQUIRE(world.fixture.scheduler().executor("x")->nominated.millicores == 4'000);
        world.write(s_here, true);
        CHECK(world.fixture.scheduler().executor("x")->nominated.millicores == 0);
        world.fixture.report("x", {}, { { 1, { "low", 0, 0, 0 }, 1, EndKind::Stopped, {} } });
        CHECK(world.sentTo("x", Milliseconds(1'000)) == 0);
    }
}

TEST_CASE("a task that lasts and fails in an evacuated data centre starts again in another")
{
    World world;
    world.fixture.addExecutor("x", 8'000, s_here);
    world.fixture.submit("j", 0, { lastingStep() });
    for (int i = 0; i < 20 && !world.fixture.scheduler().executor("x")->runs.size(); ++i)
        world.fixture.accept(world.fixture.advance(Milliseconds(200)));
    world.fixture.report("x", { { { "j", 0, 0, 0 }, 1, {}, 50, 0 } }, {});
    world.fixture.addExecutor("y", 8'000, s_there);
    world.write(s_here, true);
    world.fixture.report("x", {}, { { 1, { "j", 0, 0, 0 }, 1, EndKind::Failed, {} } });
    std::size_t elsewhere = 0;
    for (int i = 0; i < 20; ++i) {
        std::vector<ExecutorCommand> commands = world.fixture.advance(Milliseconds(100));
        CHECK(std::none_of(commands.begin(), commands.end(), [](const ExecutorCommand& it) { return it.kind == CommandKind::Start && it.executor == "x"; }));
        elsewhere += starts(commands);
        world.fixture.accept(commands);
    }
    CHECK(elsewhere == 1);
}

TEST_CASE("the log tells of an evacuation, of services that it leaves without executors, and of its end")
{
    World world;
    world.fixture.addExecutor("x", 8'000, s_here);
    world.write(s_here, true);
    std::string line = world.fixture.events().find(EventId::EvacuationInForce);
    CHECK(line.find("data_centre=d1") != std::string::npos);
    CHECK(line.find("emptied_services=service") != std::string::npos);
    CHECK(world.fixture.events().find(EventId::EvacuationRejected).empty());
    // Without executors it is a mistake, or comes before them.
    world.write("elsewhere", true);
    CHECK(world.fixture.events().find(EventId::EvacuationRejected).find("data_centre=elsewhere") != std::string::npos);
    world.write(s_here, false);
    CHECK(world.fixture.events().find(EventId::EvacuationEnded).find("data_centre=d1") != std::string::npos);
}

TEST_CASE("an older record about a data centre never reverts a newer one")
{
    using Outcome = EvacuationTable::Outcome;
    EvacuationTable table;
    CHECK(table.apply("d1", true, 10) == Outcome::Changed);
    CHECK(table.apply("d1", false, 9) == Outcome::Outdated);
    CHECK(table.isEvacuated("d1"));
    CHECK(table.apply("d1", false, 11) == Outcome::Changed);
    CHECK(table.apply("d1", true, 10) == Outcome::Outdated);
    CHECK_FALSE(table.isEvacuated("d1"));
    // Also if its removal was read first.
    CHECK(table.apply("d2", false, 20) == Outcome::Unchanged);
    CHECK(table.apply("d2", true, 19) == Outcome::Outdated);
    CHECK(table.evacuated().empty());
}

TEST_CASE("more evacuations than the table holds let nothing start that the operator has forbidden")
{
    using Outcome = EvacuationTable::Outcome;
    EvacuationTable table;
    auto name = [](std::size_t i) { return "d" + std::to_string(i); };
    table.apply("former", true, 1);
    table.apply("former", false, 2);
    for (std::size_t i = 0; i < EvacuationTable::s_maxDataCentres; ++i)
        CHECK(table.apply(name(i), true, i + 3) == Outcome::Changed);
    CHECK_FALSE(table.isEvacuated("former"));
    CHECK(table.apply("one too many", true, 1'000) == Outcome::Full);
    CHECK(table.isEvacuated("one too many"));
    CHECK(table.evacuated().size() == EvacuationTable::s_maxDataCentres);
}

} // namespace plantainhold
