// Tests that the progress of a job of any size is stored in records that the store takes, and that the next
// owner reads from them what the former one knew.

#include "plantainhold/testing/jobs/SchedulerFixture.h"

#include <catch2/catch.hpp>

namespace plantainhold {

namespace {

    // The platform's limit for a record.
    constexpr std::size_t s_recordBytes = 262'144;
    const std::size_t s_maxBytes = SchedulerLimits().maxRecordBytes;
    constexpr std::uint32_t s_steps = 4;
    constexpr std::uint32_t s_tasksOfStep = 2'500;

    JobProgress largeProgress()
    {
        JobProgress progress { JobState::Running, true, {}, {} };
        for (std::uint32_t step = 0; step < s_steps; ++step) {
            for (std::uint32_t n = 0; n < s_tasksOfStep; ++n)
                progress.tasks.push_back({ 0, step, n, n % 7, 0, n % 3 == 0, n % 3 == 0 ? "" : "i-0123456789", 1'796'000'000'000, n % 3 == 0 ? "" : "00000bb87a21d94b", {} });
        }
        return progress;
    }

    StoredJob applied(JobTable& table, const std::vector<std::pair<std::string, std::string>>& records, std::uint64_t& offset)
    {
        for (const auto& [key, value] : records)
            table.applyProgress(key, value, offset++);
        return table.jobs().at("j");
    }

} // namespace

// LOST (review/2): the progress of a job of 10,000 tasks was one record that the store refused; the refused append
// was repeated for ever, and no task of any job was started any more.
TEST_CASE("the progress of a job of 10,000 tasks is stored in records that the store takes")
{
    ProgressParts parts;
    JobTable table;
    std::uint64_t offset = 0;
    JobProgress progress = largeProgress();
    std::vector<std::pair<std::string, std::string>> records = parts.encode("j", progress, s_maxBytes);
    CHECK(std::all_of(records.begin(), records.end(), [](const auto& it) { return it.second.size() <= s_recordBytes; }));
    CHECK(records.back().first == "j");
    StoredJob stored = applied(table, records, offset);
    ProgressParts next;
    std::optional<JobProgress> restored = next.decode(stored);
    REQUIRE(restored);
    CHECK(restored->state == JobState::Running);
    CHECK(encodeProgress(*restored).size() == encodeProgress(progress).size());
    REQUIRE(restored->tasks.size() == progress.tasks.size());

    SECTION("a change writes its part and the job's own record only")
    {
        progress.tasks[5'000].run = 9;
        std::vector<std::pair<std::string, std::string>> changed = parts.encode("j", progress, s_maxBytes);
        REQUIRE(changed.size() == 2);
        restored = ProgressParts().decode(applied(table, changed, offset));
        auto task = std::find_if(restored->tasks.begin(), restored->tasks.end(), [](const TaskProgress& it) { return it.step == 2 && it.index == 0; });
        REQUIRE(task != restored->tasks.end());
        CHECK(task->run == 9);
    }
    SECTION("the end of the job removes the parts, also by the next owner")
    {
        stored = applied(table, next.encode("j", { JobState::Completed, true, {}, {} }, s_maxBytes), offset);
        CHECK(stored.progressParts.empty());
        CHECK(stored.state == JobState::Completed);
    }
    SECTION("parts are newer than the job's own record if both name a task")
    {
        JobTable former;
        former.applyProgress("j", encodeProgress({ JobState::Running, true, { { 0, 2, 0, 1, 0, false, "old", 1, {}, {} } }, {} }), 0);
        records.pop_back();
        std::uint64_t later = 1;
        restored = ProgressParts().decode(applied(former, records, later));
        CHECK(restored->tasks.size() == progress.tasks.size());
        CHECK(std::none_of(restored->tasks.begin(), restored->tasks.end(), [](const TaskProgress& it) { return it.executor == "old"; }));
    }
}

// The records of all other jobs stay as they were.
TEST_CASE("the progress of an ordinary job is one record")
{
    ProgressParts parts;
    std::vector<std::pair<std::string, std::string>> records = parts.encode("j", { JobState::Running, true, { { 0, 0, 0, 1, 0, false, "x", 1, {}, {} } }, {} }, s_maxBytes);
    REQUIRE(records.size() == 1);
    CHECK(records[0].first == "j");
}

// TWICE: the next owner of a large job must know all runs that may exist.
TEST_CASE("the next owner knows all runs of a large job")
{
    constexpr std::uint32_t s_tasks = 8'000;
    SchedulerFixture fixture;
    fixture.addExecutor("an-executor-with-a-long-id", 16'000);
    StepSpec step = SchedulerFixture::step(s_tasks / 2, 1);
    step.resources.memoryMib = 1;
    fixture.submit("j", 0, { step, step });
    std::size_t started = 0;
    for (int i = 0; i < 3; ++i)
        started += starts(fixture.advance());
    REQUIRE(started == s_tasks);
    CHECK(fixture.storedJob("j").progressParts.size() > 1);
    SchedulerFixture next;
    next.takeOver("j", fixture.storedJob("j"));
    CHECK(next.scheduler().executor("an-executor-with-a-long-id")->runs.size() == started);
}

// LOST (review/6): tasks with checkpoints of 3,000 bytes made a record of 300,000 bytes, which the store refused; the
// refused append was repeated for ever, and no task of any job was started any more.
TEST_CASE("the progress of tasks with large checkpoints is stored in records that the store takes")
{
    constexpr std::uint32_t s_tasks = 100;
    constexpr std::size_t s_checkpointBytes = 3'000;
    SchedulerFixture fixture;
    fixture.addExecutor("x", 200'000);
    StepSpec step = SchedulerFixture::step(s_tasks, 1'000);
    step.checkpoints = true;
    fixture.submit("j", 0, { step });
    std::vector<ExecutorCommand> commands = fixture.advance();
    REQUIRE(starts(commands) == s_tasks);
    fixture.accept(commands);
    std::vector<ReportedEnd> ended;
    for (std::uint32_t n = 0; n < s_tasks; ++n)
        ended.push_back({ n + 1, { "j", 0, 0, n }, 1, EndKind::Stopped, std::string(s_checkpointBytes, 'c') });
    fixture.report("x", {}, ended);
    std::vector<ExecutorCommand> restarted = fixture.advance();
    CHECK(starts(restarted) == s_tasks);
    CHECK(std::all_of(restarted.begin(), restarted.end(), [](const ExecutorCommand& it) { return it.checkpoint.size() == s_checkpointBytes; }));
    CHECK(fixture.largestRecord() <= s_recordBytes);
}

// A task's checkpoint that no record can hold costs its work after a takeover, and nothing else.
TEST_CASE("a checkpoint that no record can hold is left out of the progress")
{
    SchedulerFixture fixture;
    fixture.addExecutor("x", 2'000);
    std::vector<ExecutorCommand> commands = startJob(fixture);
    fixture.accept(commands);
    fixture.report("x", {}, { { 1, { "j", 0, 0, 0 }, 1, EndKind::Stopped, std::string(s_recordBytes, 'c') } });
    std::vector<ExecutorCommand> restarted = fixture.advance();
    REQUIRE(starts(restarted) == 1);
    CHECK(restarted.front().checkpoint.size() == s_recordBytes);
    CHECK(fixture.largestRecord() <= s_recordBytes);
    CHECK_FALSE(fixture.events().find(EventId::CheckpointOmitted).empty());
}

// The records of one change may be stored by several appends, and the owner may end between any two of them.
TEST_CASE("the progress of a job can be read after each record of a division")
{
    constexpr std::uint32_t s_tasks = 64;
    constexpr std::size_t s_smallRecord = 2'000;
    auto progressOf = [](std::uint32_t run, std::size_t checkpointBytes) {
        JobProgress progress { JobState::Running, true, {}, {} };
        for (std::uint32_t n = 0; n < s_tasks; ++n)
            progress.tasks.push_back({ 0, 0, n, run, 0, false, "x", 1, std::string(checkpointBytes, 'c'), {} });
        return progress;
    };
    ProgressParts parts;
    JobTable table;
    std::uint64_t offset = 0;
    for (std::uint32_t run = 1; run <= 6; ++run) {
        for (const auto& [key, value] : parts.encode("j", progressOf(run, run * 60), s_smallRecord)) {
            CHECK(value.size() <= s_smallRecord);
            table.applyProgress(key, value, offset++);
            std::optional<JobProgress> restored = ProgressParts().decode(table.jobs().at("j"));
            REQUIRE(restored);
            // Before the first record of a job nothing of it is known.
            bool isKnown = run > 1 || restored->tasks.size() == s_tasks;
            CHECK((!isKnown || restored->tasks.size() == s_tasks));
            CHECK(std::all_of(restored->tasks.begin(), restored->tasks.end(), [&](const TaskProgress& it) { return it.run + 1 >= run && it.run <= run; }));
        }
        std::optional<JobProgress> restored = ProgressParts().decode(table.jobs().at("j"));
        CHECK(std::all_of(restored->tasks.begin(), restored->tasks.end(), [&](const TaskProgress& it) { return it.run == run; }));
    }
}

// LOST: a refusal that repeating can't change must not keep other jobs from their starts; and TWICE: a start must not
// be sent, nor an end be acknowledged, if the store doesn't hold the record of it.
TEST_CASE("a record that the store does not take keeps its own job alone from starts and acknowledgements")
{
    SchedulerFixture fixture;
    fixture.addExecutor("x", 8'000);
    fixture.addExecutor("y", 8'000);
    fixture.submit("bad", 0, { SchedulerFixture::step(1, 1'000), SchedulerFixture::step(1, 1'000) });
    fixture.submit("good", 0, { SchedulerFixture::step(1, 1'000) });
    std::vector<ExecutorCommand> commands = fixture.advance();
    REQUIRE(starts(commands) == 3);
    fixture.accept(commands);
    fixture.refuseRecordsOf("bad");
    std::string executor = commands.front().executor;
    std::vector<ReportedEnd> ended;
    std::vector<ReportedRun> running;
    for (const ExecutorCommand& it : commands) {
        bool isDone = it.executor == executor && (it.task.job != "bad" || it.task.step == 0);
        if (isDone)
            ended.push_back({ ended.size() + 1, it.task, it.run, EndKind::Stopped, {} });
        else if (it.executor == executor)
            running.push_back({ it.task, it.run, {}, 0, 0 });
    }
    fixture.report(executor, running, ended);
    std::ptrdiff_t badEnds = std::count_if(ended.begin(), ended.end(), [](const ReportedEnd& it) { return it.task.job == "bad"; });
    REQUIRE(badEnds > 0);
    std::vector<ExecutorCommand> next = fixture.advance();
    CHECK(std::none_of(next.begin(), next.end(), [](const ExecutorCommand& it) { return it.task.job == "bad"; }));
    auto firstBad = std::find_if(ended.begin(), ended.end(), [](const ReportedEnd& it) { return it.task.job == "bad"; });
    CHECK(fixture.scheduler().executor(executor)->endsRecorded < firstBad->number);

    SECTION("another job goes on")
    {
        fixture.submit("later", 0, { SchedulerFixture::step(1, 1'000) });
        CHECK(starts(fixture.advance()) >= 1);
    }
    SECTION("the job goes on once its record is taken")
    {
        fixture.refuseRecordsOf({});
        std::size_t started = 0;
        for (int i = 0; i < 70; ++i) {
            std::vector<ExecutorCommand> later = fixture.advance(Milliseconds(100));
            started += static_cast<std::size_t>(std::count_if(later.begin(), later.end(), [](const ExecutorCommand& it) { return it.kind == CommandKind::Start && it.task.job == "bad"; }));
            fixture.accept(later);
        }
        CHECK(started >= 1);
        CHECK(fixture.scheduler().executor(executor)->endsRecorded == ended.size());
    }
}

} // namespace plantainhold
