// A job as its caller describes it: steps of equal tasks, in an order given by
// dependencies, run once or at set times.
#pragma once

#include "plantainhold/ports/Resources.h"

#include <cstdint>
#include <string>
#include <vector>

namespace plantainhold {

struct StepSpec {
    std::uint32_t taskCount = 0;
    // What one task reserves.
    Resources resources;
    // Rough duration of one task.
    std::uint32_t estimateMs = 0;
    // Earlier steps whose tasks must all be done first.
    std::vector<std::uint32_t> after;
    bool checkpoints = false;
    // The tasks work only while all of them are present, and end together.
    bool isGang = false;
    bool prefersOneRack = false;
    // Empty: any executor.
    std::string requiredLabel;
    // Where the input is; empty: anywhere.
    std::string dataRack;
    // 0: no limit.
    std::uint32_t maxPerExecutor = 0;
    bool isSpeculative = false;
    // The tasks run until the job is cancelled.
    bool isLongRunning = false;
    // Tasks of one image behave alike.
    std::string image;
    // Response time that a lasting task has to keep; 0: none.
    double targetTailMs = 0;
    // The tasks run on what others leave unused; their processors are not reserved.
    bool usesLeftoverCpu = false;
    // How many tasks may be stopped at the same time.
    std::uint32_t maxUnavailable = 0;

    // Serves users under a latency target.
    bool isLatencyCritical() const { return isLongRunning && targetTailMs > 0; }
    // Works beside tasks that serve users, and may slow them down.
    bool isBestEffort() const { return usesLeftoverCpu; }
    Resources reserved() const
    {
        return { usesLeftoverCpu ? 0 : resources.millicores, resources.memoryMib, resources.accelerators };
    }
};

struct JobSpec {
    std::string queue;
    // Handed to the executors as it came.
    std::string payload;
    std::vector<StepSpec> steps;
    // 0: the job runs once, at once.
    std::uint32_t repeatCount = 0;
    std::int64_t firstDueUnixMs = 0;
    std::int64_t intervalMs = 0;
    // When it was handed in, by the time of day of the instance that took it in.
    std::int64_t acceptedUnixMs = 0;

    bool isTimed() const { return repeatCount > 0; }
    std::uint32_t occurrences() const { return isTimed() ? repeatCount : 1; }
    bool isLongRunning() const { return !steps.empty() && steps.front().isLongRunning; }
};

} // namespace plantainhold
