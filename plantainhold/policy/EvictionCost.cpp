// The expected loss by an eviction, in core seconds.
#include "plantainhold/policy/EvictionCost.h"

#include "plantainhold/policy/KindStatistics.h"
#include "plantainhold/policy/PolicyTask.h"

#include <algorithm>
#include <array>

namespace plantainhold {

namespace {

    constexpr double s_restartSeconds = 15;
    constexpr double s_priorSaved = 1;
    constexpr double s_priorLost = 0.5;
    // Indexed by Priority. A delay of urgent or high work weighs more because people wait for its result.
    constexpr std::array<double, 4> s_priorityWeights { 8, 4, 1.5, 1 };
    constexpr double s_percent = 100;

} // namespace

EvictionCost::EvictionCost(const KindStatistics& statistics)
    : m_statistics(statistics)
{
}

void EvictionCost::observe(NameId kind, bool wasSaved)
{
    if (kind >= m_saveCounts.size())
        m_saveCounts.resize(kind + std::size_t(1));
    (wasSaved ? m_saveCounts[kind].saved : m_saveCounts[kind].lost) += 1;
}

double EvictionCost::saveProbability(NameId kind) const
{
    SaveCounts saves = kind < m_saveCounts.size() ? m_saveCounts[kind] : SaveCounts {};
    return (saves.saved + s_priorSaved) / (saves.saved + saves.lost + s_priorSaved + s_priorLost);
}

double EvictionCost::expectedLostWork(const PolicyTask& task, TimePoint now) const
{
    double ranSeconds = std::chrono::duration<double>(now - task.startedAt).count();
    // Work since the latest checkpoint: by progress if the task reports it, otherwise by run time.
    double unsavedSeconds = ranSeconds;
    if (task.progress > task.checkpoint && task.expected.count() > 0) {
        double whole = std::chrono::duration<double>(m_statistics.runTimeOf(task.kind, task.expected)).count();
        unsavedSeconds = std::min(ranSeconds, whole * (task.progress - task.checkpoint) / s_percent);
    }
    return unsavedSeconds * task.busyCores * (1 - saveProbability(task.kind));
}

double EvictionCost::of(const PolicyTask& task, TimePoint now) const
{
    double weight = s_priorityWeights[static_cast<std::size_t>(task.priority)];
    return weight * (expectedLostWork(task, now) + s_restartSeconds * task.busyCores);
}

} // namespace plantainhold
