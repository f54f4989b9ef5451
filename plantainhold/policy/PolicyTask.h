// One task as the planner keeps it. Plain data; Planner alone owns the records
// and their addresses stay fixed while the task is known.
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
    // Percent of the work that a durable checkpoint covers.
    std::uint32_t checkpoint = 0;
    Resources declared;
    Milliseconds expected { 0 };
    TimePoint waitingSince;

    // Set while the task waits in the FairQueue: its lane and place there.
    static constexpr std::uint32_t s_noLane = std::numeric_limits<std::uint32_t>::max();
    std::uint32_t lane = s_noLane;
    std::uint64_t sequence = 0;

    // Set while an attempt holds resources.
    WorkerSlot worker = s_noWorker;
    // Zero until attemptStarted() gives the number.
    std::uint32_t attempt = 0;
    Resources reserved;
    TimePoint startedAt;
    // Unique a placement, never zero.
    std::uint64_t serial = 0;
    // Cores at work at full speed; from the kind until reports say more.
    double busyCores = 0;
    // Reports of this attempt that were taken at more than a tenth of full speed.
    std::uint32_t useSamples = 0;
    // Those of them in which the reservation was used up.
    std::uint32_t exhaustedSamples = 0;
    std::int64_t peakMemoryMib = 0;

    // Runs on a quarantined worker to find out whether that is sound again.
    bool isProbe = false;
    // An eviction was asked for and has not taken effect.
    bool isEvicting = false;
    TimePoint evictionRequestedAt;
    TimePoint checkpointRequestedAt;

    // Set while the task waits for those that it preempts, with the room kept for it.
    WorkerSlot nominatedOn = s_noWorker;
    Resources nominated;
    TimePoint nominatedAt;

    // Newest report.
    Resources used;
    std::uint32_t progress = 0;
    std::uint32_t throttlePercent = 100;

    bool isPlaced() const { return worker != s_noWorker; }
    // Whether the interference policy keeps its latency within the objective.
    bool isGuarded() const { return isService && hasGuards; }
};

} // namespace plantainhold
