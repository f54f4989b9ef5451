// Tests of how much room, and for how long, tasks that may crash their executors can keep from others.

#include "plantainhold/testing/jobs/SchedulerFixture.h"

#include <catch2/catch.hpp>
#include <map>

namespace plantainhold {

namespace {

    constexpr Milliseconds s_tick { 100 };
    // How long a job with nothing running may wait beside room.
    constexpr Milliseconds s_maxWait { 3'000 };
    constexpr std::int64_t s_millicores = 8'000;

    std::string executorName(std::size_t number)
    {
        return "x" + std::to_string(number);
    }

    // Executors that run whatever they are given until they crash, and report every 100 ms.
    class SteadyFleet {
    public:
        explicit SteadyFleet(std::size_t executors)
        {
            for (std::size_t i = 0; i < executors; ++i) {
                fixture.addExecutor(executorName(i), s_millicores);
                m_incarnations[executorName(i)] = 1;
            }
        }

        // Returns the number of starts.
        std::size_t run(Milliseconds time)
        {
            std::size_t n = 0;
            for (Milliseconds passed { 0 }; passed < time; passed += s_tick)
                n += step();
            return n;
        }

        // All executors restart in place.
        void crash()
        {
            m_running.clear();
            for (auto& [executor, incarnation] : m_incarnations)
                ++incarnation;
        }

        // A task under which two executors have crashed.
        void restoreSuspect(const std::string& job)
        {
            TaskProgress task;
            task.run = 2;
            task.crashes.all = 2;
            fixture.restore(job, { SchedulerFixture::step(1, 1'000) }, { JobState::Running, true, { task } });
        }

        std::size_t secluded()
        {
            std::size_t n = 0;
            for (const auto& [executor, incarnation] : m_incarnations)
                n += fixture.scheduler().executor(executor)->secludedRuns > 0;
            return n;
        }

        SchedulerFixture fixture;
        std::size_t mostSecluded = 0;

    private:
        std::size_t step()
        {
            std::vector<ExecutorCommand> commands = fixture.advance(s_tick);
            fixture.accept(commands);
            for (const ExecutorCommand& it : commands) {
                if (it.kind == CommandKind::Start)
                    m_running[it.executor].push_back({ it.task, it.run, {}, 100, 0 });
            }
            for (const auto& [executor, incarnation] : m_incarnations)
                fixture.report(executor, m_running[executor], {}, incarnation);
            mostSecluded = std::max(mostSecluded, secluded());
            return starts(commands);
        }

        std::map<std::string, std::int64_t> m_incarnations;
        std::map<std::string, std::vector<ReportedRun>> m_running;
    };

} // namespace

// LOST: a suspect kept all others from its executor until its run had ended, or for 5 s and more.
TEST_CASE("a job starts in time beside a suspect that works on the only executor")
{
    SteadyFleet fleet(1);
    fleet.restoreSuspect("suspect");
    REQUIRE(fleet.run(Milliseconds(500)) == 1);
    fleet.fixture.submit("j", 0, { SchedulerFixture::step(1, 1'000) });
    CHECK(fleet.run(s_maxWait) == 1);
}

// LOST: each suspect kept an executor to itself, so that together they kept the whole fleet.
TEST_CASE("many suspects keep at most an eighth of the executors to themselves")
{
    SteadyFleet fleet(16);
    for (int i = 0; i < 32; ++i)
        fleet.restoreSuspect("suspect" + std::to_string(i));
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
        fleet.crash();
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
    next.list(executorName(0), s_millicores, 1);
    next.takeOver("j", former.fixture.storedJob("j"));
    next.advance();
    next.list(executorName(0), s_millicores, 2);
    next.report(executorName(0), {}, {}, 2);
    next.advance();
    next.report(executorName(0), {}, {}, 2);
    CHECK(next.events().find(EventId::RunLost).find("task=j.0.0.0") != std::string::npos);
    CHECK(next.events().find(EventId::TaskCrashedExecutor).empty());
}

} // namespace plantainhold
