// Leaves the counts of an instance in the log, and reads back those of instances
// that are gone. Instances keep nothing, and several hundred are replaced a day;
// without this a report would forget what they served.
#pragma once

#include "plantainhold/report/BurnRules.h"
#include "plantainhold/routing/BurnCounters.h"

#include <string>
#include <unordered_set>
#include <vector>

namespace plantainhold {

class LogPort;

struct ArchivedCount {
    BurnKey key;
    BurnWindowIndex window = BurnWindowIndex::Hour;
    BurnCount count;
};

struct ArchivedCounts {
    // False when the log could not be read; the counts are then incomplete.
    bool isComplete = false;
    std::size_t incarnations = 0;
    std::vector<ArchivedCount> counts;
};

class BurnArchive {
public:
    BurnArchive(LogPort& log, std::string instance, std::string incarnation, Milliseconds timeout);

    // Appends buckets; what could not be confirmed is kept for the next call, as
    // buckets are cumulative and may stand twice. Blocks. Not thread-safe.
    void write(std::vector<BurnBucket> changed);

    // Sums what incarnations other than `liveIncarnations` left, per window ending at `nowMs`
    // of the wall clock. Blocks. Thread-safe.
    ArchivedCounts read(const std::unordered_set<std::string>& liveIncarnations, std::int64_t nowMs) const;

private:
    LogPort& m_log;
    const std::string m_instance;
    const std::string m_incarnation;
    const Milliseconds m_timeout;
    std::vector<BurnBucket> m_unconfirmed;
};

} // namespace plantainhold
