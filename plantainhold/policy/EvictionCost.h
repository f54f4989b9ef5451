// Estimates the cost of evicting a task: the work that its checkpoint will not
// save, the restart, and the delay for the caller, which the task's priority weighs.
#pragma once

#include "plantainhold/policy/NameTable.h"
#include "plantainhold/ports/Clock.h"

#include <vector>

namespace plantainhold {

class KindStatistics;
struct PolicyTask;

class EvictionCost {
public:
    // The statistics must outlive this object. No method of this class is thread-safe.
    explicit EvictionCost(const KindStatistics& statistics);

    // Records the end of an evicted attempt. wasSaved tells whether a checkpoint
    // covered its latest progress.
    void observe(NameId kind, bool wasSaved);
    // Returns the estimated probability that a checkpoint of this kind of task succeeds.
    double saveProbability(NameId kind) const;

    // Returns the expected loss in core seconds, weighted by the task's priority.
    double of(const PolicyTask& task, TimePoint now) const;
    // Returns the part of the loss that is repeated work, in core seconds and unweighted.
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
