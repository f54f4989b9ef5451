// The planner's record of one task. Plain data; only Planner owns these records, and
// their addresses are stable while the task is known.
#pragma once

#include "plantainhold/config/ConfigDocument.h"
#include "plantainhold/policy/NameTable.h"
#include "plantainhold/policy/WorkerIndex.h"
#include "plantainhold/ports/Clock.h"
#include "plantainhold/ports/Resources.h"

#include <cstdint>
#include <limits>
#include <string>

namespace plantainhold {

struct PolicyTask {
    static constexpr WorkerSlot s_noWorker = std::numeric_limits<WorkerSlot>::max();

    std::string id;
    NameId team = 0;
    NameId kind = 0;
    Priority priority = Priority::Normal;
    bool isService = false;
    bool isUrgent = false;
    bool hasGuards = true;
    std::uint32_t slowdownLimitMilli = 0;
    // Percentage of the work that a durable checkpoint covers.
    std::uint32_t checkpoint = 0;
    Resources declared;
    Milliseconds expected { 0 };
    TimePoint waitingSince;

    // The lane and the position in it while the task waits in the FairQueue.
    static constexpr std::uint32_t s_noLane = std::numeric_limits<std::uint32_t>::max();
    std::uint32_t lane = s_noLane;
    std::uint64_t sequence = 0;

    // The worker of the attempt that holds resources, or s_noWorker.
    WorkerSlot worker = s_noWorker;
    // The attempt's number; zero until Planner::attemptStarted() reports it.
    std::uint32_t attempt = 0;
    Resources reserved;
    TimePoint startedAt;
    // Identifies the placement; unique and never zero.
    std::uint64_t serial = 0;
    // Cores kept busy at full speed. Starts as the estimate for the kind and follows the
    // attempt's reports.
    double busyCores = 0;
    // Number of reports of this attempt taken at 10 % of full speed or more.
    std::uint32_t useSamples = 0;
    // Number of those reports in which the processor reservation was used up at full speed.
    std::uint32_t exhaustedSamples = 0;
    std::int64_t peakMemoryMib = 0;

    // Whether the attempt probes a quarantined worker, to learn whether it has recovered.
    bool isProbe = false;
    // Whether an eviction was requested that has not yet taken effect.
    bool isEvicting = false;
    TimePoint evictionRequestedAt;
    TimePoint checkpointRequestedAt;

    // The worker on which the task's victims are stopping, and the capacity held for it there.
    WorkerSlot nominatedOn = s_noWorker;
    Resources nominated;
    TimePoint nominatedAt;

    // Values of the latest report.
    Resources used;
    std::uint32_t progress = 0;
    std::uint32_t throttlePercent = 100;

    bool isPlaced() const { return worker != s_noWorker; }
    // Whether the interference policy keeps this task's latency within its objective.
    bool isGuarded() const { return isService && hasGuards; }
};

} // namespace plantainhold
