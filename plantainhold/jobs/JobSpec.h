// A job as submitted: steps of identical tasks, ordered by dependencies, run once or at set times.
#pragma once

#include "plantainhold/jobs/QueueIdentity.h"
#include "plantainhold/jobs/QueueSettings.h"
#include "plantainhold/ports/Resources.h"

#include <cstdint>
#include <string>
#include <vector>

namespace plantainhold {

struct StepSpec {
    std::uint32_t taskCount = 0;
    // Resources reserved by one task.
    Resources resources;
    // Estimated duration of one task.
    std::uint32_t estimateMs = 0;
    // Indexes of earlier steps that must be done first.
    std::vector<std::uint32_t> after;
    bool checkpoints = false;
    // The tasks make progress only while all of them run, and end together.
    bool isGang = false;
    bool prefersOneRack = false;
    // Label that the executor must have; empty: any executor.
    std::string requiredLabel;
    // Rack that holds the input; empty: any.
    std::string dataRack;
    // Maximum number of tasks of the step on one executor; 0: no limit.
    std::uint32_t maxPerExecutor = 0;
    bool isSpeculative = false;
    // The tasks run until the job is cancelled.
    bool isLongRunning = false;
    // Tasks with the same image are assumed to interfere alike.
    std::string image;
    // Tail latency that a long-running task must not exceed, in ms; 0: none.
    double targetTailMs = 0;
    // The tasks use CPU that others leave idle; their millicores are not reserved.
    bool usesLeftoverCpu = false;
    // Maximum number of tasks that may be stopped at the same time.
    std::uint32_t maxUnavailable = 0;

    // True for a long-running task with a latency target.
    bool isLatencyCritical() const { return isLongRunning && targetTailMs > 0; }
    // True for a task that may run beside latency-critical tasks and slow them down.
    bool isBestEffort() const { return usesLeftoverCpu; }
    Resources reserved() const
    {
        return { usesLeftoverCpu ? 0 : resources.millicores, resources.memoryMib, resources.accelerators };
    }
};

struct JobSpec {
    // Name of the queue when the job was accepted.
    std::string queue;
    // The settings of the queue under which the job was accepted.
    QueueSettings settings;
    // Passed to the executors unchanged.
    std::string payload;
    std::vector<StepSpec> steps;
    // 0: the job runs once, immediately.
    std::uint32_t repeatCount = 0;
    std::int64_t firstDueUnixMs = 0;
    std::int64_t intervalMs = 0;
    // Submission time, by the wall clock of the instance that accepted the job.
    std::int64_t acceptedUnixMs = 0;

    // Returns whether the job was handed in to this queue. Thread-safe.
    bool belongsTo(const QueueIdentity& other) const { return settings.areKnown() && other.addressHash ? settings.addressHash == *other.addressHash : queue == other.name; }
    bool isTimed() const { return repeatCount > 0; }
    std::uint32_t occurrences() const { return isTimed() ? repeatCount : 1; }
    bool hasTask(std::uint32_t occurrence, std::uint32_t step, std::uint32_t index) const { return occurrence < occurrences() && step < steps.size() && index < steps[step].taskCount; }
    // When an occurrence is due, in ms since 1970.
    std::int64_t dueUnixMs(std::uint32_t occurrence) const { return firstDueUnixMs + static_cast<std::int64_t>(occurrence) * intervalMs; }
    bool isLongRunning() const { return !steps.empty() && steps.front().isLongRunning; }
};

} // namespace plantainhold
