// Single decisions of the scheduler, each a pattern of load or of messages.

#include "plantainhold/jobs/JobScheduler.h"
#include "plantainhold/jobs/JobCodec.h"
#include "plantainhold/jobs/JobTable.h"

#include <algorithm>
#include <catch2/catch.hpp>

namespace plantainhold {

namespace {

    constexpr std::uint64_t s_generation = 3;

    // A scheduler whose batches are stored at once and whose executors answer as told.
    class Bench {
    public:
        explicit Bench(OwnerTerm former = { 0, true, {} }, bool needsAdvice = false)
            : m_scheduler(m_limits, s_generation, former, m_events, m_now)
        {
            auto config = std::make_shared<FleetConfig>();
            for (std::int32_t priority : { 0, 2 }) {
                Queue queue;
                queue.name = "q" + std::to_string(priority);
                queue.service = "service";
                queue.priority = priority;
                queue.maxAttempts = 2;
                queue.needsAdvice = needsAdvice;
                config->queues.push_back(queue);
            }
            m_scheduler.configure(config);
        }

        void addExecutor(const std::string& id, std::int64_t millicores)
        {
            ExecutorEntry entry;
            entry.id = id;
            entry.service = "service";
            entry.address = "10.0.0.1:80";
            entry.capacity = { millicores, 64'000, 0 };
            entry.labels = { "a", "r1" };
            entry.startedUnixMs = 1;
            m_scheduler.executorListed(entry, m_now);
            report(id, {}, {});
        }

        static StepSpec step(std::uint32_t tasks, std::int64_t millicores)
        {
            StepSpec spec;
            spec.taskCount = tasks;
            spec.resources = { millicores, 100, 0 };
            spec.estimateMs = 500;
            return spec;
        }

        void submit(const std::string& id, std::int32_t priority, std::vector<StepSpec> steps)
        {
            JobSpec spec;
            spec.queue = "q" + std::to_string(priority);
            spec.steps = std::move(steps);
            m_table.applySubmission(JobTable::submissionKey(id), encodeSubmission(spec));
            m_scheduler.submit(id, *m_table.find(id), m_now);
        }

        // Some time passes; what is decided is stored, and the orders are returned.
        std::vector<ExecutorCommand> pass(Milliseconds time = Milliseconds(20))
        {
            m_now += time;
            m_scheduler.advance(m_now, 0);
            CommitBatch batch = m_scheduler.takeBatch(m_now);
            m_scheduler.committed(batch, m_now);
            for (const auto& [id, value] : batch.progress)
                m_table.applyProgress(id, value, m_offset++);
            return m_scheduler.takeCommands();
        }

        void accept(const std::vector<ExecutorCommand>& commands)
        {
            for (const ExecutorCommand& it : commands) {
                if (it.kind == CommandKind::Start && m_scheduler.prepareSend(it, m_now))
                    m_scheduler.commandFinished(it, CommandResult::Accepted, m_now, m_now);
            }
        }

        void report(const std::string& id, std::vector<RunRow> running, std::vector<EndRow> ended)
        {
            std::optional<ReportRequest> request = m_scheduler.nextReport(id, m_now);
            ExecutorReport report { 1, 1'000, std::move(running), std::move(ended), false };
            m_scheduler.reported(id, *request, report, m_now, m_now);
        }

        // As a former owner left it.
        void restore(const std::string& id, std::vector<StepSpec> steps, const JobProgress& progress)
        {
            JobSpec spec;
            spec.queue = "q0";
            spec.steps = std::move(steps);
            m_table.applySubmission(JobTable::submissionKey(id), encodeSubmission(spec));
            m_table.applyProgress(id, encodeProgress(progress), m_offset++);
            m_scheduler.submit(id, *m_table.find(id), m_now);
        }

        void answer(const std::vector<ExecutorCommand>& commands, CommandResult outcome)
        {
            for (const ExecutorCommand& it : commands) {
                if (it.kind == CommandKind::Start && m_scheduler.prepareSend(it, m_now))
                    m_scheduler.commandFinished(it, outcome, m_now, m_now);
            }
        }

        // Calls to it have no answer any more, and it leaves the list.
        void cutOff(const std::string& id)
        {
            m_scheduler.executorUnlisted(id, m_now);
            std::optional<ReportRequest> request = m_scheduler.nextReport(id, m_now);
            m_scheduler.reportFailed(id, *request, CommandResult::Unknown, m_now);
        }

        // As it is stored by now.
        const StoredJob& stored(const std::string& id) const { return *m_table.find(id); }

        void reportAcknowledged(const std::string& id)
        {
            pass();
            report(id, {}, {});
        }

        JobScheduler& scheduler() { return m_scheduler; }
        TimePoint now() const { return m_now; }

    private:
        SchedulerLimits m_limits;
        NullEventSink m_events;
        TimePoint m_now { std::chrono::hours(1) };
        JobTable m_table;
        std::uint64_t m_offset = 0;
        JobScheduler m_scheduler;
    };

    std::size_t starts(const std::vector<ExecutorCommand>& commands)
    {
        return static_cast<std::size_t>(std::count_if(commands.begin(), commands.end(), [](const ExecutorCommand& it) { return it.kind == CommandKind::Start; }));
    }

    std::size_t stops(const std::vector<ExecutorCommand>& commands)
    {
        return static_cast<std::size_t>(std::count_if(commands.begin(), commands.end(), [](const ExecutorCommand& it) { return it.kind == CommandKind::Stop; }));
    }

} // namespace

TEST_CASE("an executor without work is not asked until it has some")
{
    Bench bench;
    bench.addExecutor("x", 8'000);
    CHECK(bench.scheduler().isIdle("x"));
    CHECK(bench.scheduler().nextReport("x", bench.now())->waitMs == 0);
    bench.submit("j", 0, { Bench::step(1, 1'000) });
    bench.accept(bench.pass());
    CHECK_FALSE(bench.scheduler().isIdle("x"));
    CHECK(bench.scheduler().nextReport("x", bench.now())->waitMs > 0);
    bench.report("x", {}, { { 1, { "j", 0, 0, 0 }, 1, EndKind::Done, {} } });
    // The end has to be recorded, and the executor told so.
    CHECK_FALSE(bench.scheduler().isIdle("x"));
    bench.reportAcknowledged("x");
    CHECK(bench.scheduler().isIdle("x"));
}

TEST_CASE("a job whose tasks were all done when its owner died is completed by the next one")
{
    Bench bench;
    bench.addExecutor("x", 8'000);
    TaskProgress first { 0, 0, 0, 1, 0, true };
    // Its first run had ended well after all, while a second one was being stopped.
    TaskProgress second { 0, 0, 1, 2, 0, true, "x", 1 };
    bench.restore("j", { Bench::step(2, 1'000) }, { JobState::Running, true, { first, second } });
    CHECK(starts(bench.pass()) == 0);
    bench.pass();
    CHECK(bench.stored("j").state == JobState::Completed);
}

TEST_CASE("a job waits until one of its tasks has started, wherever it was placed before")
{
    Bench bench;
    bench.addExecutor("x", 8'000);
    bench.submit("j", 0, { Bench::step(1, 1'000) });
    std::vector<ExecutorCommand> commands = bench.pass();
    REQUIRE(starts(commands) == 1);
    CHECK_FALSE(bench.stored("j").hasStarted);
    bench.answer(commands, CommandResult::Unavailable);
    bench.pass();
    CHECK_FALSE(bench.stored("j").hasStarted);
    commands = bench.pass(Milliseconds(1'500));
    REQUIRE(starts(commands) == 1);
    bench.answer(commands, CommandResult::Accepted);
    bench.pass();
    CHECK(bench.stored("j").hasStarted);
}

TEST_CASE("a job starts within one step, and its next step when the first is done")
{
    Bench bench;
    bench.addExecutor("x", 8'000);
    StepSpec second = Bench::step(1, 1'000);
    second.after = { 0 };
    bench.submit("j", 0, { Bench::step(2, 1'000), second });
    std::vector<ExecutorCommand> commands = bench.pass();
    REQUIRE(starts(commands) == 2);
    bench.accept(commands);
    bench.report("x", { { { "j", 0, 0, 1 }, 1, {}, 50, 0 } }, { { 1, { "j", 0, 0, 0 }, 1, EndKind::Done, {} } });
    CHECK(starts(bench.pass()) == 0);
    bench.report("x", {}, { { 2, { "j", 0, 0, 1 }, 1, EndKind::Done, {} } });
    commands = bench.pass();
    REQUIRE(starts(commands) == 1);
    CHECK(commands.back().task.step == 1);
}

TEST_CASE("lasting tasks that cannot be placed hold no room that short tasks could use")
{
    // One executor with room, many lasting tasks that are kept away to leave short ones room.
    Bench bench;
    bench.addExecutor("x", 32'000);
    StepSpec longRunning = Bench::step(10, 6'000);
    longRunning.isLongRunning = true;
    bench.submit("service", 0, { longRunning });
    for (int i = 0; i < 20; ++i)
        bench.accept(bench.pass(Milliseconds(100)));
    bench.submit("quote", 0, { Bench::step(1, 1'500) });
    CHECK(starts(bench.pass(Milliseconds(100))) >= 1);
}

TEST_CASE("a lasting task that never ran stops nobody; one that ran gets its place back")
{
    Bench bench;
    bench.addExecutor("x", 8'000);
    bench.submit("batch", 2, { Bench::step(8, 1'000) });
    std::vector<ExecutorCommand> commands = bench.pass();
    REQUIRE(starts(commands) == 8);
    bench.accept(commands);
    StepSpec longRunning = Bench::step(1, 6'000);
    longRunning.isLongRunning = true;
    bench.submit("service", 0, { longRunning });
    for (int i = 0; i < 20; ++i)
        CHECK(stops(bench.pass(Milliseconds(100))) == 0);
}

TEST_CASE("an urgent task that does not fit makes less urgent ones stop, as few as it takes")
{
    Bench bench;
    bench.addExecutor("x", 8'000);
    bench.submit("batch", 2, { Bench::step(8, 1'000) });
    bench.accept(bench.pass());
    bench.submit("quote", 0, { Bench::step(1, 2'000) });
    std::size_t stopped = 0;
    for (int i = 0; i < 10; ++i)
        stopped += stops(bench.pass(Milliseconds(50)));
    CHECK(stopped == 2);
}

TEST_CASE("a queue that needs advice starts where it was approved, with the ticket")
{
    Bench bench({ 0, true, {} }, true);
    bench.addExecutor("x", 8'000);
    bench.addExecutor("y", 8'000);
    bench.submit("j", 0, { Bench::step(2, 1'000) });
    CHECK(starts(bench.pass()) == 0);
    std::vector<AdviceRequest> requests = bench.scheduler().adviceRequests();
    REQUIRE(requests.size() == 1);
    CHECK(requests[0].executors.size() == 2);
    CHECK(bench.scheduler().adviceRequests().empty());
    bench.scheduler().adviceReceived(requests[0], { true, { { "y", "t-1" } }, Milliseconds(3'000) }, bench.now());
    std::vector<ExecutorCommand> commands = bench.pass();
    REQUIRE(starts(commands) == 2);
    CHECK(commands[0].executor == "y");
    CHECK(commands[0].ticket == "t-1");
}

TEST_CASE("advice that gives no answer is asked for again, after a pause")
{
    Bench bench({ 0, true, {} }, true);
    bench.addExecutor("x", 8'000);
    bench.submit("j", 0, { Bench::step(1, 1'000) });
    bench.pass();
    AdviceRequest request = bench.scheduler().adviceRequests().at(0);
    bench.scheduler().adviceReceived(request, {}, bench.now());
    bench.pass();
    CHECK(bench.scheduler().adviceRequests().empty());
    bench.pass(Milliseconds(500));
    CHECK(bench.scheduler().adviceRequests().size() == 1);
}

TEST_CASE("a start without an answer is settled by a report under a higher token")
{
    Bench bench;
    bench.addExecutor("x", 8'000);
    bench.submit("j", 0, { Bench::step(1, 1'000) });
    std::vector<ExecutorCommand> commands = bench.pass();
    REQUIRE(starts(commands) == 1);
    std::uint64_t before = bench.scheduler().prepareSend(commands[0], bench.now())->token;
    bench.scheduler().commandFinished(commands[0], CommandResult::Unknown, bench.now(), bench.now());
    CHECK(starts(bench.pass()) == 0);
    std::optional<ReportRequest> request = bench.scheduler().nextReport("x", bench.now());
    CHECK(request->token > before);
    bench.scheduler().reported("x", *request, { 1, 2'000, {}, {}, false }, bench.now(), bench.now());
    commands = bench.pass();
    REQUIRE(starts(commands) == 1);
    CHECK(commands[0].run == 2);
}

TEST_CASE("an owner that released tells how long silent executors keep their tasks")
{
    // Without the record, the next owner waits for the longest lease and a grace.
    for (bool isReleased : { true, false }) {
        OwnerTerm former { 2, isReleased, { { "gone", 1, 500 } } };
        Bench bench(former);
        bench.addExecutor("x", 8'000);
        JobTable table;
        JobSpec spec;
        spec.queue = "q0";
        spec.steps = { Bench::step(1, 1'000) };
        table.applySubmission(JobTable::submissionKey("j"), encodeSubmission(spec));
        table.applyProgress("j", encodeProgress({ JobState::Running, true, { { 0, 0, 0, 1, 0, false, "gone", 1, {} } } }), 1);
        bench.scheduler().submit("j", *table.find("j"), bench.now());
        CHECK(starts(bench.pass(Milliseconds(300))) == 0);
        std::size_t soon = 0;
        for (int i = 0; i < 5; ++i)
            soon += starts(bench.pass(Milliseconds(100)));
        CHECK(soon == (isReleased ? 1 : 0));
        std::size_t later = soon;
        for (int i = 0; i < 80; ++i)
            later += starts(bench.pass(Milliseconds(100)));
        CHECK(later == 1);
    }
}

TEST_CASE("after its attempts a job has failed; ends that are not failures do not count")
{
    Bench bench;
    bench.addExecutor("x", 8'000);
    bench.submit("j", 0, { Bench::step(1, 1'000) });
    EndKind kinds[] = { EndKind::LeaseLapsed, EndKind::Failed, EndKind::Stopped, EndKind::Failed };
    std::uint32_t run = 0;
    for (EndKind it : kinds) {
        std::vector<ExecutorCommand> commands;
        for (int i = 0; i < 50 && !starts(commands); ++i)
            commands = bench.pass(Milliseconds(100));
        REQUIRE(starts(commands) == 1);
        bench.accept(commands);
        ++run;
        bench.report("x", {}, { { run, { "j", 0, 0, 0 }, run, it, {} } });
    }
    CHECK(starts(bench.pass(Milliseconds(5'000))) == 0);
    CHECK(bench.scheduler().activeJobs() == 0);
}

TEST_CASE("a job of tasks that press on every serving task still gets a place, if a slow one")
{
    Bench bench;
    bench.addExecutor("x", 32'000);
    bench.scheduler().restoreLearned({ { { "tender", "heavy", { 0.5, 0.0001 } } }, {} });
    StepSpec tender = Bench::step(1, 6'000);
    tender.isLongRunning = true;
    tender.image = "tender";
    tender.targetTailMs = 18;
    bench.submit("service", 0, { tender });
    bench.accept(bench.pass());
    StepSpec heavy = Bench::step(4, 4'000);
    heavy.image = "heavy";
    heavy.usesLeftoverCpu = true;
    bench.submit("batch", 2, { heavy });
    std::size_t started = 0;
    for (int i = 0; i < 28; ++i) {
        bench.report("x", { { { "service", 0, 0, 0 }, 1, {}, 100, 15 } }, {});
        started += starts(bench.pass(Milliseconds(100)));
    }
    CHECK(started == 1);
}

TEST_CASE("a run that a former owner had slowed down is brought to its pace again")
{
    Bench bench;
    bench.addExecutor("x", 32'000);
    StepSpec bestEffort = Bench::step(1, 4'000);
    bestEffort.image = "i";
    bestEffort.usesLeftoverCpu = true;
    JobTable table;
    JobSpec spec;
    spec.queue = "q2";
    spec.steps = { bestEffort };
    table.applySubmission(JobTable::submissionKey("j"), encodeSubmission(spec));
    table.applyProgress("j", encodeProgress({ JobState::Running, true, { { 0, 0, 0, 1, 0, false, "x", 1, {} } } }), 1);
    bench.scheduler().submit("j", *table.find("j"), bench.now());
    std::vector<ExecutorCommand> commands;
    for (int i = 0; i < 3; ++i) {
        bench.report("x", { { { "j", 0, 0, 0 }, 1, {}, 40, 0 } }, {});
        for (ExecutorCommand& it : bench.pass(Milliseconds(500)))
            commands.push_back(std::move(it));
    }
    REQUIRE(commands.size() == 1);
    CHECK(commands[0].kind == CommandKind::Pace);
    CHECK(commands[0].percent == 100);
}

TEST_CASE("an executor whose runs were given up is asked on, and its good ends count before it is listed again")
{
    // A data centre that was cut off is back, and its executors are not in the list yet.
    Bench bench;
    bench.addExecutor("x", 8'000);
    bench.submit("j", 0, { Bench::step(1, 1'000) });
    bench.accept(bench.pass());
    bench.cutOff("x");
    CHECK(starts(bench.pass(Milliseconds(6'000))) == 0);
    REQUIRE(bench.scheduler().nextReport("x", bench.now()));
    bench.report("x", {}, { { 1, { "j", 0, 0, 0 }, 1, EndKind::Done, {} } });
    bench.addExecutor("y", 8'000);
    CHECK(starts(bench.pass()) == 0);
    bench.pass();
    CHECK(bench.stored("j").state == JobState::Completed);
}

TEST_CASE("an executor that stays silent is asked no longer after a while")
{
    Bench bench;
    bench.addExecutor("x", 8'000);
    bench.submit("j", 0, { Bench::step(1, 1'000) });
    bench.accept(bench.pass());
    bench.cutOff("x");
    bench.pass(Milliseconds(6'000));
    bench.pass(Milliseconds(10'000));
    CHECK(bench.scheduler().executor("x") == nullptr);
}

TEST_CASE("an executor that was forgotten and is listed again gets a token above all that it has seen")
{
    // A cut data centre: silent, out of the list, its lease over; then it is back.
    Bench bench;
    bench.addExecutor("x1", 4'000);
    std::uint64_t seen = 0;
    // Orders without an answer raise the token.
    for (int i = 0; i < 3; ++i) {
        bench.submit("job-" + std::to_string(i), 0, { Bench::step(1, 1'000) });
        std::vector<ExecutorCommand> commands = bench.pass();
        REQUIRE(starts(commands) > 0);
        for (const ExecutorCommand& it : commands) {
            if (it.kind == CommandKind::Start && bench.scheduler().prepareSend(it, bench.now()))
                bench.scheduler().commandFinished(it, CommandResult::Unknown, bench.now(), bench.now());
        }
        std::optional<ReportRequest> request = bench.scheduler().nextReport("x1", bench.now());
        REQUIRE(request);
        seen = std::max(seen, request->token);
        bench.scheduler().reported("x1", *request, { 1, 1'000, {}, {}, false }, bench.now(), bench.now());
    }
    bench.scheduler().executorUnlisted("x1", bench.now());
    std::optional<ReportRequest> lost = bench.scheduler().nextReport("x1", bench.now());
    bench.scheduler().reportFailed("x1", *lost, CommandResult::Unknown, bench.now());
    bench.pass(Milliseconds(8'000));
    REQUIRE(bench.scheduler().executor("x1") == nullptr);
    ExecutorEntry entry;
    entry.id = "x1";
    entry.service = "service";
    entry.capacity = { 4'000, 64'000, 0 };
    entry.startedUnixMs = 1;
    bench.scheduler().executorListed(entry, bench.now());
    std::optional<ReportRequest> again = bench.scheduler().nextReport("x1", bench.now());
    REQUIRE(again);
    CHECK(again->token > seen);
}

TEST_CASE("a run that was given up but had ended well makes its task done")
{
    // A cut data centre comes back after its work was begun anew elsewhere.
    Bench bench;
    bench.addExecutor("x1", 4'000);
    bench.submit("job", 0, { Bench::step(1, 1'000) });
    bench.accept(bench.pass());
    std::optional<ReportRequest> lost = bench.scheduler().nextReport("x1", bench.now());
    bench.scheduler().reportFailed("x1", *lost, CommandResult::Unknown, bench.now());
    bench.addExecutor("x2", 4'000);
    bench.pass(Milliseconds(6'000));
    std::vector<ExecutorCommand> commands = bench.pass();
    bench.accept(commands);
    REQUIRE(bench.scheduler().executor("x2")->runs.size() == 1);
    TaskName task { "job", 0, 0, 0 };
    bench.report("x1", {}, { { 1, task, 1, EndKind::Done, {} } });
    commands = bench.pass();
    CHECK(stops(commands) == 1);
    // Nothing more of it is started, also not by a next owner.
    bench.report("x2", {}, { { 1, task, 2, EndKind::Stopped, {} } });
    for (int i = 0; i < 5; ++i)
        CHECK(starts(bench.pass(Milliseconds(200))) == 0);
    CHECK(bench.scheduler().activeJobs() == 0);
}

} // namespace plantainhold
