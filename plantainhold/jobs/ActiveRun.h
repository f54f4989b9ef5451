// One run of a task as its owner sees it: where it is, under which lease, and what reports have shown of it.
#pragma once

#include "plantainhold/jobs/CrashEvidence.h"
#include "plantainhold/ports/Clock.h"

#include <cstddef>
#include <cstdint>
#include <limits>
#include <string>
#include <string_view>

namespace plantainhold {

struct ActiveExecutor;
struct ActiveTask;

enum class RunPhase : std::uint8_t {
    // An executor was chosen. The record is not in the store yet, so no command was sent.
    Recording,
    // The start command is queued or in flight.
    Starting,
    // It is not known whether the executor has the run.
    Unconfirmed,
    Running
};

constexpr std::string_view nameOf(RunPhase phase)
{
    constexpr std::string_view s_names[] = { "recording", "starting", "unconfirmed", "running" };
    return s_names[static_cast<std::size_t>(phase)];
}

// One run of a task that is, or may be, on an executor.
struct ActiveRun {
    static constexpr std::uint32_t s_noImage = std::numeric_limits<std::uint32_t>::max();

    ActiveTask* task = nullptr;
    ActiveExecutor* executor = nullptr;
    std::uint32_t number = 0;
    RunPhase phase = RunPhase::Recording;
    // Priority of the queue at the time of assignment.
    std::int32_t priority = 0;
    // Incarnation of the executor to which the start was sent, or which listed the run.
    std::int64_t incarnation = 0;
    // The newest fencing token that a start command for this run may have carried.
    std::uint64_t token = 0;
    TimePoint assignedAt {};
    // When this owner sent the start; unset for a run that a former owner started.
    TimePoint sentAt {};
    bool wasSentHere() const { return sentAt != TimePoint {}; }
    // Returns the earliest time at which the run can have begun, as far as this owner knows. A start may wait
    // for its record for long after the assignment.
    TimePoint begunAt() const { return wasSentHere() ? sentAt : assignedAt; }
    // How the run relates to the crash of its executor, if that has crashed; the task counts it once the run
    // is lost.
    CrashRelation crash = CrashRelation::None;
    // The task was a suspect when the run was placed, and for now nothing else is placed beside it.
    bool isSecluded = false;
    // The run has been at work for CrashCounts::s_soundAfter, under this owner or a former one.
    bool isProven = false;
    // Until a report lists the run, an incarnation that the owner does not know of may have it, under a
    // lease that lasts up to this time.
    TimePoint unseenLeaseExpiresAt {};
    bool isIncarnationKnown() const { return unseenLeaseExpiresAt == TimePoint {}; }
    // TaskProgress::isRunSeen.
    bool isSeen = false;
    // TaskProgress::hasRunOutlastedStart.
    bool hasOutlastedStart = false;
    // Address to which the start was sent; empty while its result is not known.
    std::string sentTo;
    // When the owner learned that the run had started, or that its start is over without a result. A
    // report that was requested before may have been executed before the start, so it is no evidence
    // that the run is missing.
    TimePoint confirmedAt {};
    bool isStopRequested = false;
    bool isStopSent = false;
    TimePoint stopSentAt {};
    // Percent and measurement of the newest report.
    std::uint32_t percent = 0;
    double measurement = 0;
    // Pace in percent that was sent last, and the pace that the pacer wants.
    static constexpr std::uint32_t s_unknownPace = 101;
    std::uint32_t sentPace = 100;
    std::uint32_t targetPace = 100;
    // Since when the run has been slowed down heavily to protect its neighbours; max() if it is not.
    TimePoint slowedSince = TimePoint::max();
    // For a latency-critical task: since when its target has been missed; max() if it is met.
    TimePoint missedSince = TimePoint::max();
    // The image's id in the InterferenceTable.
    std::uint32_t image = s_noImage;
    TimePoint pacedAt {};
    bool wasPaced = false;
    // Checkpoint of the newest report, and when the checkpoint or the progress last changed.
    std::string checkpoint;
    TimePoint progressedAt {};
    // Value of ActiveExecutor::reports when a report last listed the run.
    std::uint64_t listedIn = 0;
};

} // namespace plantainhold
