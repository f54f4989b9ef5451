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
    if (wasSoon && soon)
        --soon;
}

bool CrashSeries::hasUnexplained(TimePoint now)
{
    while (!m_unexplained.empty() && m_unexplained.front() < now - s_memory)
        m_unexplained.pop_front();
    return !m_unexplained.empty();
}

std::ptrdiff_t CrashSeries::unexplainedNear(TimePoint when) const
{
    return std::count_if(m_unexplained.begin(), m_unexplained.end(), [&](TimePoint it) { return it >= when - s_before && it <= when + s_after; });
}

} // namespace plantainhold
