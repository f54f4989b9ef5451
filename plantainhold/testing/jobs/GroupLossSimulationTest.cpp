// Random simulations in which many executors crash at one moment, a few times in series: how long jobs wait
// afterwards, beside executors that have room.

#include "plantainhold/testing/jobs/JobSimulation.h"
#include "plantainhold/testing/jobs/SimulationChecks.h"

#include <catch2/catch.hpp>
#include <string_view>

namespace plantainhold {

namespace {

    constexpr std::uint64_t s_seeds = 12;
    constexpr std::uint64_t s_startsPerSeed = 100;
    constexpr std::size_t s_executors = 20;
    constexpr std::int64_t s_faultsMs = 50'000;
    constexpr std::int64_t s_lengthMs = 110'000;
    // On average, 17 s pass between the beginnings of two series.
    constexpr double s_groupLossRate = 0.0006;
    constexpr std::string_view s_calmWait = "waits beside room in a calm stretch";

    // Executors crash in groups, and nothing else happens. All leases are of one length, so that the time after
    // which a lost task may run again does not depend on what an executor was last sent.
    SimulationOptions withGroupLosses()
    {
        SimulationOptions options;
        options.executors = s_executors;
        options.jobs = 20;
        options.lastingJobs = 14;
        options.lastingFromMs = 0;
        options.lastingTasks = 8;
        options.faultsMs = s_faultsMs;
        options.lengthMs = s_lengthMs;
        options.limits.maxLease = options.limits.lease;
        options.maxLeaseMs = options.limits.lease.count();
        options.lostResponses = 0;
        options.slowWriteFraction = 0;
        options.hasStrictChecks = true;
        options.faults.singleFaultFactor = 0;
        options.faults.groupLossRate = s_groupLossRate;
        options.faults.movedFraction = 0.2;
        options.faults.renamedFraction = 0.2;
        options.faults.goneFraction = 0.1;
        return options;
    }

    SimulationOptions withOwnerLosses()
    {
        SimulationOptions options = withGroupLosses();
        options.faults.ownerLossFraction = 0.5;
        return options;
    }

    // Jobs of long tasks that use leftover processors; there are more of them than the executors can hold at once.
    SimulationOptions withBestEffortJobs()
    {
        SimulationOptions options = withOwnerLosses();
        options.bestEffortJobs = 12;
        options.maxWorkMs = 12'000;
        options.lengthMs += 60'000;
        return options;
    }

} // namespace

// LOST: tasks that ran on lost executors were suspected of the loss, and kept most executors to themselves.
TEST_CASE("no long-running task waits beside room after groups of executors are lost")
{
    checkNoViolations(withGroupLosses(), s_seeds, s_startsPerSeed);
}

// LOST: new owners waited for longer leases than those that had been granted, and suspected runs that were long at work.
TEST_CASE("no long-running task waits beside room after executors and owners are lost together")
{
    checkNoViolations(withOwnerLosses(), s_seeds, s_startsPerSeed);
}

// LOST: best-effort tasks had no claim to an executor on which others ran.
TEST_CASE("no job waits beside room after losses while best-effort tasks fill the executors")
{
    checkNoViolations(withBestEffortJobs(), s_seeds, s_startsPerSeed);
}

// Starts that were under way to executors when these crashed are waited for under the longest lease.
TEST_CASE("no long-running task waits beside room after losses if the longest lease exceeds the usual one")
{
    SimulationOptions options = withOwnerLosses();
    SimulationOptions usual;
    options.limits.maxLease = usual.limits.maxLease;
    options.maxLeaseMs = usual.maxLeaseMs;
    checkNoViolations(options, s_seeds, s_startsPerSeed);
}

// Shows that the calm stretches are long enough for tasks to be noticed whose lease is waited for.
TEST_CASE("control: leases that keep long-running tasks waiting in a calm stretch are detected")
{
    SimulationOptions options = withGroupLosses();
    options.limits.lease = Milliseconds(12'000);
    options.limits.maxLease = options.limits.lease;
    options.maxLeaseMs = options.limits.lease.count();
    CHECK(countViolatingSeeds(options, s_calmWait, s_seeds) > 0);
}

} // namespace plantainhold
