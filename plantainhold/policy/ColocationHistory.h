// Who ran beside whom, and how fast, in the recent past. Measurements lag, so a
// sample must be read against the neighbours of the moment it was taken, not
// against those of now.
#pragma once

#include "plantainhold/policy/NameTable.h"
#include "plantainhold/policy/WorkerIndex.h"
#include "plantainhold/ports/Clock.h"

#include <cstdint>
#include <vector>

namespace plantainhold {

class ColocationHistory {
public:
    // Longer than any sample age that is still used.
    static constexpr Milliseconds s_retention { 120'000 };

    // One batch task's part in a window.
    struct TaskUsage {
        std::uint64_t serial = 0;
        NameId kind = 0;
        // Mean of busy cores over the window.
        double cores = 0;
    };

    // A task began on the worker at full speed. The serial is unique a placement.
    // Not thread-safe, as the class.
    void begin(WorkerSlot slot, std::uint64_t serial, NameId kind, double cores, TimePoint now);
    // Unknown serials are ignored, here and below.
    void end(WorkerSlot slot, std::uint64_t serial, TimePoint now);
    // The speed is what holds from that time on; later changes that were noted before are dropped.
    void setSpeed(WorkerSlot slot, std::uint64_t serial, std::uint32_t percent, TimePoint from);
    // Busy cores at full speed.
    void setCores(WorkerSlot slot, std::uint64_t serial, double cores);

    // Speed of a task at one moment, in percent; 100 when it is unknown.
    std::uint32_t speedAt(WorkerSlot slot, std::uint64_t serial, TimePoint at) const;
    // Every task that ran in the window. Precondition: from < to.
    std::vector<TaskUsage> taskUsages(WorkerSlot slot, TimePoint from, TimePoint to) const;
    // Forgets what ended or changed before the retention.
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
        // Oldest first; the first one is the start.
        std::vector<SpeedChange> speeds;
    };

    TaskInterval* find(WorkerSlot slot, std::uint64_t serial);
    static double meanSpeed(const TaskInterval& interval, TimePoint from, TimePoint to);

    std::vector<std::vector<TaskInterval>> m_intervals;
};

} // namespace plantainhold
