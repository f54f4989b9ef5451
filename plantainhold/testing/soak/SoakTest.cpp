// Short seeded soaks of real entry instances; ./run soak plays longer ones.

#include "standin/soak/SoakOptions.h"
#include "standin/soak/SoakRun.h"
#include "standin/soak/SoakSchedule.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <csignal>
#include <filesystem>
#include <unistd.h>

namespace plantainhold::soak {

namespace {

    namespace fs = std::filesystem;

    constexpr std::uint32_t s_instances = 3;
    constexpr std::uint32_t s_executors = 12;
    constexpr double s_jobsPerSecond = 6;
    constexpr double s_busyJobsPerSecond = 15;
    constexpr double s_longRunningShare = 0.15;

    SoakOptions optionsFor(std::uint64_t seed, std::chrono::seconds duration)
    {
        SoakOptions options;
        options.seed = seed;
        options.duration = duration;
        options.instances = s_instances;
        options.executors = s_executors;
        options.jobsPerSecond = s_jobsPerSecond;
        options.bin = PLANTAINHOLD_BIN_DIR;
        options.folder = fs::temp_directory_path() / ("plantainhold-soak-test-" + std::to_string(getpid()) + "-seed-" + std::to_string(seed));
        return options;
    }

    // Keeps the logs of a run in which something was found.
    SoakResult play(const SoakOptions& options)
    {
        std::signal(SIGPIPE, SIG_IGN);
        fs::create_directories(options.folder);
        SoakResult result = playSoak(options);
        for (const Violation& it : result.violations)
            UNSCOPED_INFO(nameOf(it.rule) << " " << it.text);
        for (const std::string& it : result.unexpectedEnds)
            UNSCOPED_INFO("ended: " << it);
        if (result.isGreen())
            fs::remove_all(options.folder);
        else
            UNSCOPED_INFO("logs: " << options.folder.string());
        return result;
    }

} // namespace

TEST_CASE("one seed gives one schedule, in order of time and over at its end")
{
    constexpr Milliseconds s_span { 60'000 };
    auto textOf = [&](std::uint64_t seed) {
        std::string text;
        for (const Fault& it : drawSchedule(seed, { s_span }))
            text += describe(it) + "\n";
        return text;
    };
    CHECK(textOf(5) == textOf(5));
    CHECK(textOf(5) != textOf(6));
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
        std::vector<Fault> faults = drawSchedule(seed, { s_span });
        CHECK(std::is_sorted(faults.begin(), faults.end(), [](const Fault& a, const Fault& b) { return a.at < b.at; }));
        CHECK(std::all_of(faults.begin(), faults.end(), [&](const Fault& it) { return it.at + it.duration <= s_span; }));
    }
}

TEST_CASE("a calm soak completes every job")
{
    SoakOptions options = optionsFor(1, std::chrono::seconds(5));
    options.hasFaults = false;
    SoakResult result = play(options);
    CHECK(result.isGreen());
    CHECK(result.submittedJobs > 0);
    CHECK(result.completedJobs > 0);
}

// Guards against the incident of rule TWICE: the new incarnation of an executor carried out a
// start, and the owner, when it learned of the restart, gave the run up and started another one.
TEST_CASE("no task runs twice while executors restart in place with starts in flight")
{
    SoakOptions options = optionsFor(201, std::chrono::seconds(15));
    // Enough executors that some have room when they restart.
    options.executors = 2 * s_executors;
    options.jobsPerSecond = s_busyJobsPerSecond;
    options.faults.meanGap = Milliseconds(300);
    options.faults.kinds = { FaultKind::RestartExecutor };
    SoakResult result = play(options);
    CHECK(result.isGreen());
    CHECK(result.completedJobs > 0);
}

TEST_CASE("a soak with faults breaks no rule")
{
    SoakOptions options = optionsFor(GENERATE(101, 102), std::chrono::seconds(15));
    // The kinds that came later have a test of their own, so that a red one tells which they are.
    for (std::uint8_t i = 0; i < static_cast<std::uint8_t>(FaultKind::JumpClock); ++i)
        options.faults.kinds.push_back(static_cast<FaultKind>(i));
    SoakResult result = play(options);
    CHECK(result.isGreen());
    CHECK(result.faults > 0);
    CHECK(result.completedJobs > 0);
}

// Start times that go back, odd entries under ids of live executors, capacity that shrinks.
TEST_CASE("a soak with executors whose clocks jump, odd entries and changing capacity breaks no rule")
{
    SoakOptions options = optionsFor(301, std::chrono::seconds(8));
    options.enforcesCapacity = false;
    options.faults.meanGap = Milliseconds(600);
    options.faults.kinds = { FaultKind::JumpClock, FaultKind::OddEntries, FaultKind::ResizeExecutor };
    SoakResult result = play(options);
    CHECK(result.isGreen());
    CHECK(result.faults > 0);
    CHECK(result.completedJobs > 0);
}

TEST_CASE("a soak with tasks that crash their executors breaks no rule")
{
    SoakOptions options = optionsFor(401, std::chrono::seconds(8));
    options.faults.meanGap = Milliseconds(2'000);
    options.faults.kinds = { FaultKind::DeadlyTask };
    SoakResult result = play(options);
    CHECK(result.isGreen());
    CHECK(result.faults > 0);
    CHECK(result.completedJobs > 0);
}

// Guards against the incident LOST: a third of the executors crashed at once, their tasks were suspected of it, and each
// suspect kept an executor to itself, so that long-running tasks and jobs waited while there was room for them.
TEST_CASE("no long-running task and no job waits beside free room after many executors crashed at once and instances were restarted in turn")
{
    SoakOptions options = optionsFor(501, std::chrono::seconds(4));
    options.executors = 2 * s_executors;
    options.longRunningShare = s_longRunningShare;
    options.faults.meanGap = Milliseconds(1'200);
    options.faults.kinds = { FaultKind::LoseExecutors, FaultKind::RollInstances };
    SoakResult result = play(options);
    CHECK(result.isGreen());
    CHECK(result.faults > 0);
    CHECK(result.completedJobs > 0);
}

} // namespace plantainhold::soak
