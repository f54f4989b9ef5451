// SoakRun plays one soak: real entry instances as child processes against stand-ins of the
// platform's store and executors in this process, with clients, faults and checks.
#pragma once

#include "standin/soak/RunLedger.h"

#include <string>
#include <vector>

namespace plantainhold::soak {

struct SoakOptions;

struct SoakResult {
    std::vector<Violation> violations;
    // Instances that ended although nobody asked them to.
    std::vector<std::string> unexpectedEnds;
    std::size_t faults = 0;
    std::size_t submittedJobs = 0;
    std::size_t completedJobs = 0;
    std::size_t startedRuns = 0;

    bool isGreen() const { return violations.empty() && unexpectedEnds.empty(); }
};

// Plays one soak and returns what was found. The options' folder must exist; it receives
// the logs. Throws std::runtime_error if an instance cannot be started. The calling thread
// must be the only one that plays a soak, and blocks until the end.
SoakResult playSoak(const SoakOptions& options);

} // namespace plantainhold::soak
