// One run of a scenario, with the product or with one strategy taken out of it.
#pragma once

#include "standin/proving/Checks.h"
#include "standin/proving/Fleet.h"

#include <chrono>
#include <string>
#include <vector>

namespace plantainhold::standin {

struct RunResult {
    std::vector<Finding> findings;
    // Why the run could not be judged at all; empty when it could.
    std::string error;
    std::chrono::milliseconds duration { 0 };
};

// Runs all steps, then all checks. Never throws. Thread-safe; the processes end
// with the call.
RunResult runScenario(const Scenario& scenario, const RunOptions& options);

} // namespace plantainhold::standin
