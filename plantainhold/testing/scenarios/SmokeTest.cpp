// The short scenarios of scenarios/smoke with real processes. Their verdicts come
// from journals, with generous limits of time.

#include "standin/proving/Checks.h"
#include "standin/proving/ScenarioParser.h"
#include "standin/proving/ScenarioRun.h"
#include "standin/proving/StepRunner.h"

#include <catch2/catch.hpp>
#include <unistd.h>

namespace plantainhold::standin {

namespace {

    namespace fs = std::filesystem;

    // Removes the run's files when it ends.
    class RunFolder {
    public:
        RunFolder()
            : m_path(fs::temp_directory_path() / ("plantainhold-smoke-" + std::to_string(getpid())))
        {
            fs::create_directories(m_path);
        }
        ~RunFolder()
        {
            std::error_code ec;
            fs::remove_all(m_path, ec);
        }
        const fs::path& path() const { return m_path; }

    private:
        fs::path m_path;
    };

    Scenario read(const std::string& name)
    {
        ScenarioParser parser(StepRunner::verbs(), checkNames());
        return parser.parseFile(fs::path(PLANTAINHOLD_SOURCE_DIR) / "scenarios" / "smoke" / (name + ".scenario"));
    }

    RunResult run(const Scenario& scenario)
    {
        RunFolder folder;
        return runScenario(scenario, { PLANTAINHOLD_BIN_DIR, folder.path(), "", scenario.seed });
    }

    void requireHeld(const RunResult& result)
    {
        std::string wrong = result.error;
        for (const Finding& it : result.findings)
            wrong += it.check + ": " + it.text + "\n";
        CHECK(wrong == "");
    }

} // namespace

TEST_CASE("smoke: the whole path")
{
    requireHeld(run(read("path")));
}

TEST_CASE("smoke: faults, restarts and a planned stop")
{
    requireHeld(run(read("faults")));
}

TEST_CASE("smoke: a promise that is not kept is found")
{
    Scenario scenario = read("path");
    scenario.checks = { { 1, "in_force", { "2" } }, { 2, "answered", { "service=booklet" } } };
    RunResult result = run(scenario);
    CHECK(result.error.empty());
    CHECK(result.findings.size() == 3);
}

} // namespace plantainhold::standin
