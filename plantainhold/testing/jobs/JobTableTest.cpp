// Tests JobTable and the decoders with records in any order, repeated and malformed.

#include "plantainhold/jobs/JobTable.h"
#include "plantainhold/jobs/JobCodec.h"
#include "plantainhold/jobs/OwnerTerm.h"

#include <catch2/catch.hpp>
#include <random>

namespace plantainhold {

namespace {

    JobSpec exampleSpec()
    {
        JobSpec spec;
        spec.queue = "plans";
        spec.payload = "week 12";
        StepSpec first;
        first.taskCount = 3;
        first.resources = { 1'500, 256, 1 };
        first.estimateMs = 900;
        first.checkpoints = true;
        first.requiredLabel = "a";
        first.dataRack = "r1-2";
        first.maxPerExecutor = 2;
        first.image = "img";
        first.targetTailMs = 18;
        first.maxUnavailable = 1;
        StepSpec second = first;
        second.after = { 0 };
        second.isGang = true;
        second.usesLeftoverCpu = true;
        spec.steps = { first, second };
        spec.repeatCount = 2;
        spec.firstDueUnixMs = 1'700'000'000'000;
        spec.intervalMs = 250;
        return spec;
    }

} // namespace

TEST_CASE("submissions survive encoding and decoding")
{
    JobSpec spec = exampleSpec();
    std::optional<JobSpec> read = decodeSubmission(encodeSubmission(spec));
    REQUIRE(read);
    CHECK(read->queue == spec.queue);
    CHECK(read->payload == spec.payload);
    CHECK(read->intervalMs == spec.intervalMs);
    REQUIRE(read->steps.size() == 2);
    CHECK(read->steps[0].resources == spec.steps[0].resources);
    CHECK(read->steps[0].dataRack == "r1-2");
    CHECK(read->steps[0].targetTailMs == 18);
    CHECK(read->steps[1].after == std::vector<std::uint32_t> { 0 });
    CHECK(read->steps[1].isGang);
    CHECK(read->steps[1].isBestEffort());
}

TEST_CASE("progress and owner terms survive encoding and decoding")
{
    JobProgress progress { JobState::Running, true, { { 1, 2, 3, 4, 5, false, "x1", 77, "abc" } } };
    std::optional<JobProgress> read = decodeProgress(encodeProgress(progress));
    REQUIRE(read);
    REQUIRE(read->tasks.size() == 1);
    CHECK(read->tasks[0].run == 4);
    CHECK(read->tasks[0].executorStartedUnixMs == 77);
    CHECK(decodeProgressSummary(encodeProgress(progress))->tasks.empty());
    std::optional<OwnerTerm> term = decodeOwnerTerm(encodeOwnerTerm({ 9, true, { { "x2", 5, 1'200 } } }));
    REQUIRE(term);
    CHECK(term->isReleased);
    CHECK(term->unresponsive.at(0).leaseRemainingMs == 1'200);
}

TEST_CASE("decoders survive corrupted bytes")
{
    std::mt19937_64 random(7);
    std::string good = encodeSubmission(exampleSpec());
    for (int i = 0; i < 20'000; ++i) {
        std::string bytes = good;
        for (int n = 0; n < 4; ++n)
            bytes[random() % bytes.size()] = static_cast<char>(random());
        bytes.resize(random() % (bytes.size() + 1));
        decodeSubmission(bytes);
        decodeProgress(bytes);
        decodeOwnerTerm(bytes);
    }
    SUCCEED();
}

TEST_CASE("the table shows the newest record of each kind, in any order of arrival")
{
    JobTable table;
    std::string running = encodeProgress({ JobState::Running, true, {} });
    std::string completed = encodeProgress({ JobState::Completed, true, {} });
    table.applyProgress("j", completed, 8);
    CHECK(table.find("j") == nullptr);
    table.applySubmission(JobTable::submissionKey("j"), encodeSubmission(exampleSpec()));
    REQUIRE(table.find("j"));
    CHECK(table.find("j")->shownState() == JobState::Completed);
    table.applyProgress("j", running, 5);
    CHECK(table.find("j")->shownState() == JobState::Completed);
    table.applySubmission(JobTable::cancelKey("j"), "1");
    CHECK(table.find("j")->shownState() == JobState::Completed);
}

TEST_CASE("a cancelled job shows as cancelled before the owner acts, and is not pending")
{
    JobTable table;
    table.applySubmission(JobTable::submissionKey("j"), encodeSubmission(exampleSpec()));
    CHECK(table.pendingJobs() == JobTable::PendingJobs { { "plans", 1 } });
    table.applySubmission(JobTable::cancelKey("j"), "1");
    CHECK(table.find("j")->shownState() == JobState::Cancelled);
    CHECK(table.pendingJobs().empty());
}

TEST_CASE("malformed records change nothing and are counted")
{
    JobTable table;
    CHECK(table.applySubmission("", "x").empty());
    CHECK(table.applySubmission("zj", "x").empty());
    CHECK(table.applySubmission(JobTable::submissionKey("j"), "\xff\xff").empty());
    table.applyProgress("j", "\xff\xff", 2);
    CHECK(table.size() == 0);
    CHECK(table.malformedRecords() == 4);
}

} // namespace plantainhold
