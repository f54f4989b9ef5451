// Records which batch tasks ran on each worker, and at which speed, in the recent
// past. Reports arrive late, so a sample must be attributed to the tasks that ran
// when it was taken and not to those that run when it arrives.
#pragma once

#include "plantainhold/policy/NameTable.h"
#include "plantainhold/policy/WorkerIndex.h"
#include "plantainhold/ports/Clock.h"

#include <cstdint>
#include <vector>

namespace plantainhold {

class ColocationHistory {
public:
    // How long ended tasks and speed changes are kept. Samples older than this are ignored.
    static constexpr Milliseconds s_retention { 120'000 };

    // Processor use of one batch task during a time window.
    struct TaskUsage {
        std::uint64_t serial = 0;
        NameId kind = 0;
        // Mean number of busy cores over the window.
        double cores = 0;
    };

    // Records that a task started on the worker at full speed. The serial identifies
    // the placement and must be unique. No method of this class is thread-safe.
    void begin(WorkerSlot slot, std::uint64_t serial, NameId kind, double cores, TimePoint now);
    // Records that the task ended. This and the setters below ignore unknown serials.
    void end(WorkerSlot slot, std::uint64_t serial, TimePoint now);
    // Sets the task's speed from the given time on and discards every change already
    // recorded at or after that time.
    void setSpeed(WorkerSlot slot, std::uint64_t serial, std::uint32_t percent, TimePoint from);
    // Sets the number of cores that the task keeps busy at full speed.
    void setCores(WorkerSlot slot, std::uint64_t serial, double cores);

    // Returns the task's speed at one point in time, in percent, or 100 if the task is unknown.
    std::uint32_t speedAt(WorkerSlot slot, std::uint64_t serial, TimePoint at) const;
    // Returns every task that ran in the window. Precondition: from < to.
    std::vector<TaskUsage> taskUsages(WorkerSlot slot, TimePoint from, TimePoint to) const;
    // Drops the tasks that ended, and the speed changes that were superseded, more than s_retention ago.
    void prune(WorkerSlot slot, TimePoint now);

private:
    struct SpeedChange {
        TimePoint from;
        std::uint32_t percent;
    };
    struct TaskInterval {
        std::uint64_t serial;
        NameId kind;
        double cores;
        TimePoint endedAt;
        // Ordered by time; the first entry is the start of the task.
        std::vector<SpeedChange> speeds;
    };

    TaskInterval* find(WorkerSlot slot, std::uint64_t serial);
    static double meanSpeed(const TaskInterval& interval, TimePoint from, TimePoint to);

    std::vector<std::vector<TaskInterval>> m_intervals;
};

} // namespace plantainhold
