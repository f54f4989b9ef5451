// Report on the consumption of service-level error budgets: the summed counts of all
// instances, the burn rate over each window, and the alerts that fire.
#pragma once

#include "plantainhold/report/BurnRules.h"
#include "plantainhold/routing/BurnCounters.h"

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace plantainhold {

// BurnLine holds the counts and the objective of one service and profile.
struct BurnLine {
    BurnKey key;
    // Share of requests that must meet the latency objective, in thousandths.
    std::int64_t objectiveMilli = 0;
    std::int64_t latencyObjectiveMs = 0;
    std::array<BurnCount, s_burnWindowCount> counts;
    // The last hour in buckets of ten seconds, by bucket number, for the plot.
    std::map<std::int64_t, BurnCount> points;

    // Returns the burn rate: the fraction of bad requests divided by the fraction that
    // the objective allows. A rate of 1 uses up the error budget exactly at the end of
    // its period. Returns 0 if there are no requests or no objective.
    double burn(BurnWindowIndex window) const;
    // Returns the alert rules that fire.
    std::vector<BurnAlertRule> alerts() const;
};

class BurnReport {
public:
    // Adds counts of one instance. Not thread-safe, like all functions of this class.
    void addCount(const BurnKey& key, BurnWindowIndex window, const BurnCount& count);
    void addPoint(const BurnKey& key, std::int64_t number, const BurnCount& count);
    void setObjective(const BurnKey& key, std::int64_t objectiveMilli, std::int64_t latencyObjectiveMs);
    void addReached(std::string instance);
    void addUnreached(std::string instance);
    // Sets the number of ended instances whose counts were read from the log.
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
