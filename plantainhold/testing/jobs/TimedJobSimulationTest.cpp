// Random simulations of jobs with many times, past and to come, that overlap, through all faults and takeovers: each
// time is run, each of its tasks once and in the order of its steps, and an owner keeps what is placed.

#include "plantainhold/testing/jobs/SimulationChecks.h"

#include <catch2/catch.hpp>

namespace plantainhold {

namespace {

    constexpr std::uint64_t s_seeds = 30;
    constexpr std::uint64_t s_startsPerSeed = 1'000;
    // The executors have room for fewer runs, and the jobs have several thousand tasks.
    constexpr std::size_t s_maxKeptTasks = 600;

    // A job that always has tasks to start waits for each slow write, for up to 3 s; these are a matter of other worlds once
    // there are no more faults.
    SimulationOptions withTimedJobs(const SimulationFaults& faults)
    {
        SimulationOptions options;
        options.faults = faults;
        options.timedJobs = 3;
        options.jobs = 4;
        options.maxWorkMs = 400;
        options.lengthMs = 100'000;
        options.maxKeptTasks = s_maxKeptTasks;
        options.slowWriteFraction = 0;
        return options;
    }

} // namespace

TEST_CASE("each time of a job is run once and an owner keeps what is placed")
{
    checkNoViolations(withTimedJobs({}), s_seeds, s_startsPerSeed);
}

TEST_CASE("each time of a job is run once and an owner keeps what is placed under all faults")
{
    checkNoViolations(withTimedJobs(SimulationFaults::all()), s_seeds, s_startsPerSeed);
}

// What is done is in the job's own record, and what is placed in parts, of which takeovers may see some only.
TEST_CASE("each time of a job is run once if the store takes small records and refuses some jobs")
{
    SimulationOptions options = withTimedJobs(SimulationFaults::all());
    options.faults.refusedJobFraction = 0.15;
    options.storeLimits = { 1'400, 4'000 };
    options.limits.maxRecordBytes = 1'200;
    checkNoViolations(options, s_seeds, s_startsPerSeed);
}

// Shows that takeovers come while the ranges matter.
TEST_CASE("control: owners that do not see what records name as done are detected")
{
    SimulationOptions options = withTimedJobs(SimulationFaults::all());
    options.disabled.hidesDoneRanges = true;
    CHECK(countViolatingSeeds(options, "starts after its end was acknowledged", s_seeds) > 0);
}

// Shows that the bound is below what the jobs declare.
TEST_CASE("control: an owner that keeps more than what is placed is detected")
{
    SimulationOptions options = withTimedJobs({});
    options.maxKeptTasks = 10;
    CHECK(countViolatingSeeds(options, "an owner keeps", s_seeds) > 0);
}

} // namespace plantainhold
