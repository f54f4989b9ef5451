// standinSoak --bin FOLDER [--seed N] [--seconds S] [--instances I] [--executors E]
//             [--jobs-per-second R] [--long-running SHARE] [--fault KIND]... [--fault-gap-ms MS] [--calm] [--unguarded] [--keep]
//
// Plays one soak of real entry instances against stand-ins of the platform. Exits with 1
// if a rule was broken, and names the folder with the logs then.

#include "cmd/ProgramMain.h"
#include "standin/soak/SoakOptions.h"
#include "standin/soak/SoakRun.h"

#include <csignal>
#include <iostream>
#include <tclap/CmdLine.h>
#include <unistd.h>

namespace {

namespace soak = plantainhold::soak;
namespace fs = std::filesystem;

// Instances have an address each in one subnet.
constexpr std::uint32_t s_maxInstances = 200;
constexpr double s_longRunningShare = 0.05;

struct CommandLine {
    soak::SoakOptions options;
    bool keepsLogs = false;
};

CommandLine parse(int argc, char** argv)
{
    TCLAP::CmdLine line("Plays a soak of real entry instances.", ' ', "0.1.0");
    soak::SoakOptions defaults;
    TCLAP::ValueArg<std::string> bin("", "bin", "the folder with the programs", true, "", "FOLDER", line);
    TCLAP::ValueArg<std::uint64_t> seed("", "seed", "the seed", false, defaults.seed, "N", line);
    TCLAP::ValueArg<std::uint32_t> seconds("", "seconds", "how long traffic and faults last", false, 60, "S", line);
    TCLAP::ValueArg<std::uint32_t> instances("", "instances", "entry instances, at most 200", false, defaults.instances, "I", line);
    TCLAP::ValueArg<std::uint32_t> executors("", "executors", "executors", false, defaults.executors, "E", line);
    TCLAP::ValueArg<double> jobs("", "jobs-per-second", "jobs submitted a second", false, defaults.jobsPerSecond, "R", line);
    TCLAP::ValueArg<double> longRunning("", "long-running", "share of the jobs that run until they are cancelled", false, s_longRunningShare, "SHARE", line);
    TCLAP::MultiArg<std::string> kinds("", "fault", "a kind of fault; if given, no others occur", false, "KIND", line);
    TCLAP::ValueArg<std::int64_t> gap("", "fault-gap-ms", "mean time between faults", false, defaults.faults.meanGap.count(), "MS", line);
    TCLAP::SwitchArg calm("", "calm", "without faults", line);
    TCLAP::SwitchArg unguarded("", "unguarded", "executors start also what does not fit", line);
    TCLAP::SwitchArg keep("", "keep", "keep the logs of a green run", line);
    line.parse(argc, argv);
    CommandLine given;
    given.options.seed = seed.getValue();
    given.options.duration = std::chrono::seconds(seconds.getValue());
    given.options.instances = std::min(instances.getValue(), s_maxInstances);
    given.options.executors = executors.getValue();
    given.options.jobsPerSecond = jobs.getValue();
    given.options.longRunningShare = longRunning.getValue();
    given.options.hasFaults = !calm.getValue();
    given.options.enforcesCapacity = !unguarded.getValue();
    given.options.faults.meanGap = plantainhold::Milliseconds(gap.getValue());
    for (const std::string& it : kinds.getValue()) {
        std::optional<soak::FaultKind> kind = soak::faultKindOf(it);
        if (!kind)
            throw TCLAP::ArgException("unknown kind", it);
        given.options.faults.kinds.push_back(*kind);
    }
    given.options.bin = bin.getValue();
    given.options.folder = fs::temp_directory_path() / ("plantainhold-soak-" + std::to_string(getpid()) + "-seed-" + std::to_string(seed.getValue()));
    given.keepsLogs = keep.getValue();
    return given;
}

int run(int argc, char** argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    CommandLine given = parse(argc, argv);
    fs::create_directories(given.options.folder);
    soak::SoakResult result = soak::playSoak(given.options);
    for (const soak::Violation& it : result.violations)
        std::cout << nameOf(it.rule) << " " << it.text << '\n';
    for (const std::string& it : result.unexpectedEnds)
        std::cout << "ENDED " << it << '\n';
    std::cout << "seed " << given.options.seed << ": " << (result.isGreen() ? "green" : "RED") << ", " << result.faults << " faults, " << result.submittedJobs << " jobs, " << result.completedJobs << " completed, " << result.startedRuns << " runs, " << result.violations.size() << " violations\n";
    if (result.isGreen() && !given.keepsLogs)
        fs::remove_all(given.options.folder);
    else
        std::cout << "logs: " << given.options.folder.string() << '\n';
    return result.isGreen() ? 0 : 1;
}

} // namespace

int main(int argc, char** argv)
{
    return plantainhold::runProgram([&]() { return run(argc, argv); });
}
