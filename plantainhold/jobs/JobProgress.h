// The part of a job's state that is stored, so that it survives a change of owner.
#pragma once

#include "plantainhold/jobs/CrashEvidence.h"
#include "plantainhold/jobs/IndexRange.h"
#include "plantainhold/jobs/QueueSettings.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace plantainhold {

// The numeric values are stored.
enum class JobState : std::uint8_t { Queued = 0,
    Running = 1,
    Completed = 2,
    Failed = 3,
    Cancelled = 4 };

constexpr bool isFinal(JobState state)
{
    return state == JobState::Completed || state == JobState::Failed || state == JobState::Cancelled;
}

constexpr std::string_view nameOf(JobState state)
{
    constexpr std::string_view s_names[] = { "queued", "running", "completed", "failed", "cancelled" };
    return s_names[static_cast<std::size_t>(state)];
}

// A run that was given up because the lease of its executor expired, soon after its start as far as anybody saw, while
// it is not known whether the executor crashed or was cut off. The task starts elsewhere meanwhile, so this is stored
// before.
struct UnsettledRun {
    std::uint32_t run = 0;
    std::string executor;
    std::int64_t executorStartedUnixMs = 0;
};

struct TaskProgress {
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t index = 0;
    // The highest run number for which a start command may have been sent.
    std::uint32_t run = 0;
    std::uint32_t failures = 0;
    bool isDone = false;
    // Records are sorted by this.
    auto place() const { return std::tuple(occurrence, step, index); }
    // The executor that may have the run; empty if the run has ended.
    std::string executor;
    std::int64_t executorStartedUnixMs = 0;
    std::string checkpoint;
    CrashCounts crashes;
    // The run has been at work for CrashCounts::s_soundAfter, so that it is no cause of a crash.
    bool isRunProven = false;
    // The executor has shown, in this incarnation, that it has the run. Until then another incarnation may have it.
    bool isRunSeen = false;
    // The run was at work CrashCounts::s_soonLimit after its start, so that it is no likely cause of a crash.
    bool hasRunOutlastedStart = false;
    // The crashes would convict the task, but executors crashed for other reasons as well when that was decided.
    bool isSpared = false;
    // At most s_maxUnsettledRuns, the newest.
    std::vector<UnsettledRun> unsettledRuns;
    static constexpr std::size_t s_maxUnsettledRuns = 8;
};

// Consecutive steps of an occurrence whose tasks are all done.
struct DoneSteps {
    std::uint32_t occurrence = 0;
    IndexRange steps;
};

// Consecutive tasks of a step that are done.
struct DoneTasks {
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    IndexRange tasks;
};

// A task that is not mentioned was never placed. One that is done in any record of the job stays so, whatever others
// say of it: records of different ages may be read together.
struct JobProgress {
    JobState state = JobState::Queued;
    bool hasStarted = false;
    // By occurrence, step and index.
    std::vector<TaskProgress> tasks;
    // The settings in force, if they are not those that the job was accepted under.
    std::optional<QueueSettings> settings;
    std::vector<IndexRange> doneOccurrences;
    std::vector<DoneSteps> doneSteps;
    std::vector<DoneTasks> doneTasks;
};

} // namespace plantainhold
