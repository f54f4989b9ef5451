// One task of which the owner knows something: its placement, run number, failures and newest checkpoint.
#pragma once

#include "plantainhold/jobs/ActiveRun.h"
#include "plantainhold/jobs/CrashEvidence.h"
#include "plantainhold/ports/Clock.h"

#include <cstdint>
#include <memory>
#include <string>

namespace plantainhold {

struct ActiveStep;
struct TaskName;

struct ActiveTask {
    ActiveStep* step = nullptr;
    std::uint32_t index = 0;
    std::uint32_t lastRun = 0;
    std::uint32_t failures = 0;
    CrashCounts crashes;
    // TaskProgress::isSpared; until the next crash.
    bool isSpared = false;
    bool isDone = false;
    // An earlier run completed after it had been given up. The task becomes done once its present
    // run has ended.
    bool wasDoneByEarlierRun = false;
    std::string checkpoint;
    std::unique_ptr<ActiveRun> run;
    TimePoint waitingSince {};
    // The task is not placed before this time.
    TimePoint notBefore {};
    // When the task first passed over room to wait for room near its data; unset if it has not. And until when it does;
    // not later than now if it does not.
    TimePoint passesOverSince {};
    TimePoint passesOverUntil {};
    // The executor where the task last failed, was rejected or was slowed down. It is avoided if possible.
    const ActiveExecutor* avoided = nullptr;
    // The executor where capacity is being freed for the task by preemption.
    ActiveExecutor* nominated = nullptr;
    // When that capacity is released; and from when on capacity may be freed for the task again.
    TimePoint nominatedUntil {};
    TimePoint preemptsFrom {};

    bool isWaiting() const { return !isDone && !run; }
    // True for a task that nothing but its index tells from others of its step: it never ran, and waits on no terms of
    // its own.
    bool isUntouched() const;
    TaskName name() const;
};

} // namespace plantainhold
