// standinProve --bin FOLDER [--scenarios FOLDER] [--seed N] [--jobs N] [--keep] [PROMISE|FILE]
//
// Runs every scenario with the product, which must hold, and once a control with
// one strategy taken out, which must fail a check.

#include "standin/proving/ScenarioParser.h"
#include "standin/proving/ScenarioRun.h"
#include "standin/proving/StepRunner.h"

#include <algorithm>
#include <atomic>
#include <iostream>
#include <mutex>
#include <tclap/CmdLine.h>
#include <thread>
#include <unistd.h>

namespace {

namespace standin = plantainhold::standin;
namespace fs = std::filesystem;

constexpr std::size_t s_shownFindings = 5;

// One run that has to be made: a proof, or a control that lacks a strategy.
struct Job {
    standin::Scenario scenario;
    std::string control;
    std::uint64_t seed = 1;
};

struct Tally {
    int held = 0;
    int failedAsTheyMust = 0;
    int wrong = 0;
};

class Proving {
public:
    Proving(fs::path bin, bool keeps)
        : m_bin(std::move(bin))
        , m_keeps(keeps)
        , m_folder(fs::temp_directory_path() / ("plantainhold-prove-" + std::to_string(getpid())))
    {
        fs::create_directories(m_folder);
    }

    ~Proving()
    {
        std::error_code ec;
        if (fs::is_empty(m_folder, ec))
            fs::remove(m_folder, ec);
    }

    // Runs all jobs, some at a time.
    void run(const std::vector<Job>& jobs, int width)
    {
        std::atomic<std::size_t> next { 0 };
        std::vector<std::thread> threads;
        for (int i = 0; i < width; ++i) {
            threads.emplace_back([&] {
                for (std::size_t n = next++; n < jobs.size(); n = next++)
                    runJob(jobs[n], n);
            });
        }
        for (std::thread& it : threads)
            it.join();
    }

    const Tally& tally() const { return m_tally; }

private:
    void runJob(const Job& job, std::size_t number)
    {
        standin::RunOptions options { m_bin, m_folder / (std::to_string(number) + "-" + job.scenario.file.stem().string() + (job.control.empty() ? "" : "-without-" + job.control)), job.control, job.seed };
        fs::create_directories(options.folder);
        standin::RunResult result = standin::runScenario(job.scenario, options);
        bool isProof = job.control.empty();
        bool isRight = result.error.empty() && result.findings.empty() == isProof;
        print(job, result, isRight, options.folder);
        std::error_code ec;
        if (isRight && !m_keeps)
            fs::remove_all(options.folder, ec);
    }

    void print(const Job& job, const standin::RunResult& result, bool isRight, const fs::path& folder)
    {
        std::lock_guard lock(m_mutex);
        bool isProof = job.control.empty();
        ++(!isRight ? m_tally.wrong : isProof ? m_tally.held
                                              : m_tally.failedAsTheyMust);
        const char* verdict = !isRight ? "WRONG" : isProof ? "held"
                                                           : "failed as it must";
        std::cout << (isProof ? "proof   " : "control ") << job.scenario.promise << " " << job.scenario.file.string();
        if (!isProof)
            std::cout << " without " << job.control;
        std::cout << ", seed " << job.seed << ": " << verdict << " (" << static_cast<double>(result.duration.count()) / 1000 << " s)\n";
        if (!result.error.empty())
            std::cout << "    error: " << result.error << '\n';
        std::size_t shown = std::min(result.findings.size(), isRight ? std::size_t(1) : s_shownFindings);
        for (std::size_t i = 0; i < shown; ++i)
            std::cout << "    " << result.findings[i].check << ": " << result.findings[i].text << '\n';
        if (result.findings.size() > shown)
            std::cout << "    and " << result.findings.size() - shown << " more\n";
        if (!isRight || m_keeps)
            std::cout << "    kept in " << folder.string() << '\n';
        std::cout.flush();
    }

    const fs::path m_bin;
    const bool m_keeps;
    const fs::path m_folder;
    std::mutex m_mutex;
    Tally m_tally;
};

std::vector<fs::path> scenarioFiles(const fs::path& folder)
{
    std::vector<fs::path> files;
    for (const fs::directory_entry& it : fs::recursive_directory_iterator(folder)) {
        if (it.path().extension() == ".scenario")
            files.push_back(it.path());
    }
    std::sort(files.begin(), files.end());
    return files;
}

void addJobs(const standin::Scenario& scenario, bool isSeeded, std::uint64_t seed, std::vector<Job>& jobs)
{
    std::uint64_t used = isSeeded ? seed : scenario.seed;
    jobs.push_back({ scenario, "", used });
    for (const std::string& it : scenario.controls)
        jobs.push_back({ scenario, it, used });
}

} // namespace

int main(int argc, char** argv)
{
    TCLAP::CmdLine line("Runs scenarios against the built programs and judges what truly happened");
    TCLAP::ValueArg<std::string> bin("", "bin", "folder of the programs", false, "build/bin", "FOLDER", line);
    TCLAP::ValueArg<std::string> scenarios("", "scenarios", "folder of the scenarios", false, "scenarios", "FOLDER", line);
    TCLAP::ValueArg<std::uint64_t> seed("", "seed", "in place of each scenario's own", false, 0, "N", line);
    TCLAP::ValueArg<int> jobs("", "jobs", "runs at a time", false, 2, "N", line);
    TCLAP::SwitchArg keep("", "keep", "leave all files of the runs", line);
    TCLAP::UnlabeledValueArg<std::string> filter("filter", "a promise, or one scenario file", false, "", "PROMISE|FILE", line);
    line.parse(argc, argv);
    try {
        standin::ScenarioParser parser(standin::StepRunner::verbs(), standin::checkNames());
        std::vector<Job> all;
        if (fs::is_regular_file(filter.getValue())) {
            addJobs(parser.parseFile(filter.getValue()), seed.isSet(), seed.getValue(), all);
        } else {
            for (const fs::path& it : scenarioFiles(scenarios.getValue())) {
                standin::Scenario scenario = parser.parseFile(it);
                if (filter.getValue().empty() || scenario.promise == filter.getValue())
                    addJobs(scenario, seed.isSet(), seed.getValue(), all);
            }
        }
        if (all.empty()) {
            std::cerr << "no scenario is about " << filter.getValue() << '\n';
            return 2;
        }
        Proving proving(fs::absolute(bin.getValue()), keep.getValue());
        proving.run(all, std::max(1, jobs.getValue()));
        const Tally& tally = proving.tally();
        std::cout << "proofs: " << tally.held << " held, " << tally.failedAsTheyMust << " controls failed as they must, " << tally.wrong << " wrong\n";
        return tally.wrong == 0 ? 0 : 1;
    } catch (const std::exception& error) {
        std::cerr << error.what() << '\n';
        return 2;
    }
}
