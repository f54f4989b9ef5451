// Writes the request counts of an instance to the log, and reads back those of
// instances that have ended. Instances have no persistent storage, and several hundred
// are replaced a day; without the archive a report would lose their counts.
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
    // False if the log could not be read; the counts are then incomplete.
    bool isComplete = false;
    // Number of distinct incarnations that contributed counts.
    std::size_t incarnations = 0;
    std::vector<ArchivedCount> counts;
};

class BurnArchive {
public:
    BurnArchive(LogPort& log, std::string instance, std::string incarnation, Milliseconds timeout);

    // Appends buckets. Buckets whose append was not confirmed are appended again by the
    // next call; duplicates are harmless because buckets are cumulative. Blocks. Not
    // thread-safe.
    void write(std::vector<BurnBucket> changed);

    // Returns the archived counts of all incarnations except `liveIncarnations`, for each
    // window that ends at `nowMs` of the wall clock. Blocks. Thread-safe.
    ArchivedCounts read(const std::unordered_set<std::string>& liveIncarnations, std::int64_t nowMs) const;

private:
    LogPort& m_log;
    const std::string m_instance;
    const std::string m_incarnation;
    const Milliseconds m_timeout;
    std::vector<BurnBucket> m_unconfirmed;
};

} // namespace plantainhold
