// The report on service-level burn: counts of all instances, summed, with the
// burn over each window and the alerts that fire.
#pragma once

#include "plantainhold/report/BurnRules.h"
#include "plantainhold/routing/BurnCounters.h"

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace plantainhold {

struct BurnLine {
    BurnKey key;
    std::int64_t objectiveMilli = 0;
    std::int64_t latencyObjectiveMs = 0;
    std::array<BurnCount, s_burnWindowCount> counts;
    // The last hour in buckets of ten seconds, for the plot.
    std::map<std::int64_t, BurnCount> points;

    // Share of the error budget used, per share of time: 1 uses it up exactly by
    // the end of its period. 0 without requests or without an objective.
    double burn(BurnWindowIndex window) const;
    // The alert rules that fire.
    std::vector<BurnAlertRule> alerts() const;
};

class BurnReport {
public:
    // Adds counts of one instance. Not thread-safe, as all that follows.
    void addCount(const BurnKey& key, BurnWindowIndex window, const BurnCount& count);
    void addPoint(const BurnKey& key, std::int64_t number, const BurnCount& count);
    void setObjective(const BurnKey& key, std::int64_t objectiveMilli, std::int64_t latencyObjectiveMs);
    void addReached(std::string instance);
    void addUnreached(std::string instance);
    // Instances that are gone and count by what they left in the log.
    void setArchivedCount(std::size_t count);

    std::vector<BurnLine> lines() const;
    const std::vector<std::string>& reached() const { return m_reached; }
    const std::vector<std::string>& unreached() const { return m_unreached; }
    std::size_t archivedCount() const { return m_archivedCount; }

    std::string text() const;
    std::string json() const;

private:
    BurnLine& line(const BurnKey& key);

    std::map<BurnKey, BurnLine> m_lines;
    std::vector<std::string> m_reached;
    std::vector<std::string> m_unreached;
    std::size_t m_archivedCount = 0;
};

} // namespace plantainhold
