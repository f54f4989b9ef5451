// What an eviction costs: the work that its checkpoint will not save, the
// restart, and the delay of whoever waits for the task.
#pragma once

#include "plantainhold/policy/NameTable.h"
#include "plantainhold/ports/Clock.h"

#include <vector>

namespace plantainhold {

class KindStatistics;
struct PolicyTask;

class EvictionCost {
public:
    // The statistics must outlive this. Not thread-safe, as the class.
    explicit EvictionCost(const KindStatistics& statistics);

    // An evicted attempt ended; saved tells whether its newest progress was durable.
    void observe(NameId kind, bool wasSaved);
    // Chance that a checkpoint of the kind succeeds.
    double saveProbability(NameId kind) const;

    // Expected loss in core seconds, weighted by the task's priority.
    double of(const PolicyTask& task, TimePoint now) const;
    // The part of it that is lost work, unweighted.
    double expectedLostWork(const PolicyTask& task, TimePoint now) const;

private:
    struct SaveCounts {
        double saved = 0;
        double lost = 0;
    };

    const KindStatistics& m_statistics;
    std::vector<SaveCounts> m_saveCounts;
};

} // namespace plantainhold
