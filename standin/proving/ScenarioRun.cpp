// Steps, then evidence, then checks.

#include "standin/proving/ScenarioRun.h"

#include "standin/proving/StepRunner.h"

namespace plantainhold::standin {

namespace {

    void runAndJudge(const Scenario& scenario, const RunOptions& options, RunResult& result)
    {
        Fleet fleet(scenario, options);
        StepRunner runner(scenario, options, fleet);
        runner.run();
        result.findings = runner.findings();
        Evidence evidence = runner.gatherEvidence();
        for (const Step& it : scenario.checks) {
            std::vector<Finding> found = runCheck(it, evidence);
            result.findings.insert(result.findings.end(), found.begin(), found.end());
        }
    }

} // namespace

RunResult runScenario(const Scenario& scenario, const RunOptions& options)
{
    auto start = std::chrono::steady_clock::now();
    RunResult result;
    try {
        runAndJudge(scenario, options, result);
    } catch (const std::exception& error) {
        result.error = error.what();
    }
    result.duration = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - start);
    return result;
}

} // namespace plantainhold::standin
