// Tests how long a task waits for room near its data, with executors in two racks: the near one is full, the far one is
// empty.

#include "plantainhold/jobs/LocalityWait.h"
#include "plantainhold/testing/jobs/SchedulerFixture.h"

#include <catch2/catch.hpp>
#include <set>

namespace plantainhold {

namespace {

    constexpr const char* s_near = "near";
    constexpr const char* s_far = "far";
    constexpr std::uint32_t s_slots = 4;
    constexpr std::int64_t s_slot = 1'000;
    constexpr double s_factor = 3;
    // Of the tasks that want to run near their data.
    constexpr std::uint32_t s_estimateMs = 2'000;
    constexpr std::uint32_t s_allowedMs = 20'000;

    SchedulerLimits limitsWith(double remoteFactor)
    {
        SchedulerLimits limits;
        limits.remoteFactor = remoteFactor;
        return limits;
    }

    class TwoRacks : public SchedulerFixture {
    public:
        // Each job has so much time beyond its estimates.
        explicit TwoRacks(double remoteFactor = s_factor, std::uint32_t allowedMs = s_allowedMs)
            : SchedulerFixture({ 0, true, {} }, false, TimePoint(std::chrono::hours(1)), limitsWith(remoteFactor))
        {
            auto config = std::make_shared<FleetConfig>(s_configVersion + 1);
            Queue queue;
            queue.name = "q0";
            queue.settings.service = "service";
            queue.settings.maxAttempts = 2;
            queue.settings.targetLatencyMs = allowedMs;
            config->add(queue);
            configure(config);
            add(s_near, "r1", s_slots * s_slot);
            add(s_far, "r2", 8 * s_slots * s_slot);
        }

        void add(const std::string& id, const std::string& rack, std::int64_t millicores, bool isDraining = false)
        {
            ExecutorEntry entry;
            entry.id = id;
            entry.service = "service";
            entry.address = s_address;
            entry.capacity = { millicores, 64'000, 0 };
            entry.labels = { "a", rack };
            entry.startedUnixMs = 1;
            entry.isDraining = isDraining;
            entry.remainingMs = isDraining ? 10'000 : 0;
            bool isNew = !scheduler().executor(id);
            scheduler().executorListed(entry, now());
            if (isNew)
                report(id, {}, {});
        }

        // Fills the near rack with runs that should end in `leftMs` and began 300 ms ago.
        void fillNear(std::uint32_t leftMs)
        {
            constexpr std::uint32_t s_age = 300;
            StepSpec busy = step(s_slots, s_slot);
            busy.requiredLabel = "r1";
            busy.estimateMs = leftMs + s_age;
            submit("busy", 0, { busy });
            std::vector<ExecutorCommand> commands = advance(Milliseconds(100));
            REQUIRE(starts(commands) == s_slots);
            accept(commands);
            advance(Milliseconds(s_age));
            report(s_near, running(0), {});
        }

        // Returns the runs of the near rack from this one on.
        static std::vector<ReportedRun> running(std::uint32_t from)
        {
            std::vector<ReportedRun> runs;
            for (std::uint32_t i = from; i < s_slots; ++i)
                runs.push_back({ { "busy", 0, 0, i }, 1, "", 100, 0 });
            return runs;
        }

        void endOneNear() { report(s_near, running(1), { { 1, { "busy", 0, 0, 0 }, 1, EndKind::Done, "" } }); }

        static StepSpec wantsNear(std::uint32_t tasks)
        {
            StepSpec spec = step(tasks, s_slot);
            spec.dataRack = "r1";
            spec.estimateMs = s_estimateMs;
            return spec;
        }

        // Returns the executors on which tasks of the job are started now.
        std::vector<std::string> startedOn(const std::vector<ExecutorCommand>& commands, const std::string& job = "j")
        {
            std::vector<std::string> executors;
            for (const ExecutorCommand& it : commands) {
                if (it.kind == CommandKind::Start && it.task.job == job)
                    executors.push_back(it.executor);
            }
            return executors;
        }

        // Returns how long the job's first task waits to be started, and where that is.
        std::pair<Milliseconds, std::string> firstStart(Milliseconds limit)
        {
            constexpr Milliseconds s_pace { 20 };
            for (Milliseconds passed = s_pace; passed <= limit; passed += s_pace) {
                if (std::vector<std::string> executors = startedOn(advance(s_pace)); !executors.empty())
                    return { passed, executors.front() };
            }
            return { limit, {} };
        }
    };

    using Executors = std::vector<std::string>;

} // namespace

TEST_CASE("a task waits for its full rack that frees soon, and starts there")
{
    TwoRacks fixture;
    fixture.fillNear(200);
    fixture.submit("j", 0, { TwoRacks::wantsNear(1) });
    CHECK(fixture.startedOn(fixture.advance(Milliseconds(100))).empty());
    fixture.endOneNear();
    CHECK(fixture.startedOn(fixture.advance(Milliseconds(100))) == Executors { s_near });
    const SchedulerCounters& counters = fixture.scheduler().counters();
    CHECK(counters.rackRuns == 1);
    CHECK(counters.remoteRuns == 0);
    CHECK(counters.rackWaits == 1);
    CHECK(counters.rackWaitMs == 100);
}

TEST_CASE("a task does not wait for a full rack that stays full")
{
    TwoRacks fixture;
    fixture.fillNear(5'000);
    fixture.submit("j", 0, { TwoRacks::wantsNear(1) });
    CHECK(fixture.startedOn(fixture.advance()) == Executors { s_far });
    CHECK(fixture.scheduler().counters().remoteRuns == 1);
    CHECK(fixture.scheduler().counters().rackWaits == 0);
}

TEST_CASE("a task whose gain is less than the wait runs elsewhere")
{
    TwoRacks fixture(1.05);
    fixture.fillNear(200);
    fixture.submit("j", 0, { TwoRacks::wantsNear(1) });
    CHECK(fixture.startedOn(fixture.advance()) == Executors { s_far });
}

TEST_CASE("tasks are placed as before where a rack makes no difference")
{
    TwoRacks fixture(1);
    fixture.fillNear(200);
    fixture.submit("j", 0, { TwoRacks::wantsNear(3) });
    CHECK(fixture.startedOn(fixture.advance()) == Executors { s_far, s_far, s_far });
    CHECK(fixture.scheduler().counters().rackWaits == 0);
}

// Of many tasks for one rack those whose turn there would come too late go elsewhere at once: the last ones.
TEST_CASE("of many tasks for one rack at once as many wait as it will soon have room for")
{
    TwoRacks fixture;
    fixture.fillNear(200);
    fixture.submit("j", 0, { TwoRacks::wantsNear(s_slots + 3) });
    std::set<std::uint32_t> started;
    for (const ExecutorCommand& it : fixture.advance()) {
        CHECK(it.executor == s_far);
        started.insert(it.task.index);
    }
    CHECK(started == std::set<std::uint32_t> { s_slots, s_slots + 1, s_slots + 2 });
    // A second job comes after those.
    fixture.submit("k", 0, { TwoRacks::wantsNear(2) });
    CHECK(fixture.startedOn(fixture.advance(), "k") == Executors { s_far, s_far });
}

TEST_CASE("a task waits a bounded time for runs that were estimated ten times too short")
{
    TwoRacks fixture;
    fixture.fillNear(100);
    fixture.submit("j", 0, { TwoRacks::wantsNear(1) });
    auto [waited, executor] = fixture.firstStart(Milliseconds(4'000));
    CHECK(executor == s_far);
    CHECK(waited > Milliseconds(100));
    CHECK(waited <= LocalityWait::s_longestWait);
}

TEST_CASE("a task whose own estimate is ten times too long waits a bounded time")
{
    TwoRacks fixture;
    fixture.fillNear(100);
    StepSpec spec = TwoRacks::wantsNear(1);
    spec.estimateMs = 10 * s_estimateMs;
    fixture.submit("j", 0, { spec });
    auto [waited, executor] = fixture.firstStart(Milliseconds(4'000));
    CHECK(executor == s_far);
    CHECK(waited <= LocalityWait::s_longestWait);
}

TEST_CASE("a task whose own estimate is ten times too short costs no more than if it had not waited")
{
    TwoRacks fixture;
    fixture.fillNear(500);
    StepSpec spec = TwoRacks::wantsNear(1);
    spec.estimateMs = s_estimateMs / 10;
    fixture.submit("j", 0, { spec });
    CHECK(fixture.startedOn(fixture.advance()) == Executors { s_far });
}

TEST_CASE("a task that would miss its objective by waiting runs elsewhere at once")
{
    // Room is expected after the latest start.
    TwoRacks fixture(s_factor, 100);
    fixture.fillNear(400);
    fixture.submit("j", 0, { TwoRacks::wantsNear(1) });
    CHECK(fixture.startedOn(fixture.advance()) == Executors { s_far });
}

TEST_CASE("a task does not wait for a rack that drains or is lost")
{
    TwoRacks fixture;
    fixture.fillNear(200);
    SECTION("drains")
    {
        fixture.add(s_near, "r1", s_slots * s_slot, true);
    }
    SECTION("is lost")
    {
        fixture.disconnect(s_near);
    }
    fixture.submit("j", 0, { TwoRacks::wantsNear(1) });
    CHECK(fixture.startedOn(fixture.advance()) == Executors { s_far });
}

TEST_CASE("a task does not wait for a rack that nobody knows")
{
    TwoRacks fixture;
    fixture.fillNear(200);
    StepSpec spec = TwoRacks::wantsNear(1);
    spec.dataRack = "r9";
    fixture.submit("j", 0, { spec });
    CHECK(fixture.startedOn(fixture.advance()) == Executors { s_far });
}

TEST_CASE("a rack that is lost while a task waits for it ends the wait")
{
    TwoRacks fixture;
    fixture.fillNear(300);
    fixture.submit("j", 0, { TwoRacks::wantsNear(1) });
    CHECK(fixture.startedOn(fixture.advance(Milliseconds(100))).empty());
    fixture.disconnect(s_near);
    auto [waited, executor] = fixture.firstStart(Milliseconds(1'000));
    CHECK(executor == s_far);
    CHECK(waited <= Milliseconds(600));
}

TEST_CASE("a gang waits for no rack, since it would hold room meanwhile")
{
    TwoRacks fixture;
    fixture.fillNear(200);
    StepSpec spec = TwoRacks::wantsNear(3);
    spec.isGang = true;
    fixture.submit("j", 0, { spec });
    CHECK(fixture.startedOn(fixture.advance()) == Executors { s_far, s_far, s_far });
}

TEST_CASE("a gang that wants one rack gets one that can hold all of it")
{
    for (double factor : { 1.0, s_factor }) {
        TwoRacks fixture(factor);
        // The fuller executor is the cheaper one for the first member alone.
        fixture.add("small", "r3", 2 * s_slot);
        StepSpec spec = SchedulerFixture::step(6, s_slot);
        spec.isGang = true;
        spec.prefersOneRack = true;
        fixture.submit("j", 0, { spec });
        Executors executors = fixture.startedOn(fixture.advance());
        REQUIRE(executors.size() == 6);
        bool isInOneRack = std::set<std::string>(executors.begin(), executors.end()).size() == 1;
        CHECK(isInOneRack == (factor > 1));
    }
}

// The next owner knows nothing of the wait: it begins anew, once for each owner.
TEST_CASE("a wait for a rack begins anew under the next owner, and is bounded there too")
{
    TwoRacks former;
    former.fillNear(200);
    former.submit("j", 0, { TwoRacks::wantsNear(1) });
    CHECK(former.startedOn(former.advance(Milliseconds(100))).empty());
    TwoRacks next;
    next.takeOver("busy", former.storedJob("busy"));
    next.takeOver("j", former.storedJob("j"));
    next.report(s_near, TwoRacks::running(0), {});
    auto [waited, executor] = next.firstStart(Milliseconds(4'000));
    CHECK(executor == s_far);
    CHECK(waited <= LocalityWait::s_longestWait + Milliseconds(100));
}

} // namespace plantainhold
