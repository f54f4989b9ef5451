// Tests that the progress of a job of any size is stored in records that the store takes, and that the next
// owner reads from them what the former one knew.

#include "plantainhold/testing/jobs/SchedulerFixture.h"

#include <catch2/catch.hpp>

namespace plantainhold {

namespace {

    // The platform's limit for a record.
    constexpr std::size_t s_recordBytes = 262'144;
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
    std::vector<std::pair<std::string, std::string>> records = parts.encode("j", progress);
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
        std::vector<std::pair<std::string, std::string>> changed = parts.encode("j", progress);
        REQUIRE(changed.size() == 2);
        restored = ProgressParts().decode(applied(table, changed, offset));
        auto task = std::find_if(restored->tasks.begin(), restored->tasks.end(), [](const TaskProgress& it) { return it.step == 2 && it.index == 0; });
        REQUIRE(task != restored->tasks.end());
        CHECK(task->run == 9);
    }
    SECTION("the end of the job removes the parts, also by the next owner")
    {
        stored = applied(table, next.encode("j", { JobState::Completed, true, {}, {} }), offset);
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
    std::vector<std::pair<std::string, std::string>> records = parts.encode("j", { JobState::Running, true, { { 0, 0, 0, 1, 0, false, "x", 1, {}, {} } }, {} });
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

} // namespace plantainhold
