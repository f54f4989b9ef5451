#include "plantainhold/jobs/CrashEvidence.h"

#include <algorithm>

namespace plantainhold {

void CrashCounts::add(CrashRelation relation)
{
    all += relation != CrashRelation::None;
    soon += relation == CrashRelation::Soon || relation == CrashRelation::SoonAlone;
}

void CrashCounts::explain(CrashRelation relation)
{
    bool wasSoon = relation == CrashRelation::Soon || relation == CrashRelation::SoonAlone;
    // The counts may have been cleared since the crash was added.
    if (relation != CrashRelation::None && explained < all)
        ++explained;
    if (wasSoon && explainedSoon < soon)
        ++explainedSoon;
}

bool CrashSeries::hasUnexplained(TimePoint now)
{
    while (!m_unexplained.empty() && m_unexplained.front() < now - s_memory)
        m_unexplained.pop_front();
    return !m_unexplained.empty();
}

bool CrashSeries::hasUnexplainedNear(TimePoint when) const
{
    return countNear(m_unexplained, when) > 0;
}

bool CrashSeries::hasCommonCauseNear(TimePoint when)
{
    while (!m_withoutSuspect.empty() && m_withoutSuspect.front() < when - s_memory)
        m_withoutSuspect.pop_front();
    return countNear(m_withoutSuspect, when) >= s_manyCrashes;
}

std::ptrdiff_t CrashSeries::countNear(const std::deque<TimePoint>& crashes, TimePoint when)
{
    return std::count_if(crashes.begin(), crashes.end(), [&](TimePoint it) { return it >= when - s_before && it <= when + s_after; });
}

} // namespace plantainhold
