#include "plantainhold/jobs/CrashEvidence.h"

#include <algorithm>

namespace plantainhold {

void CrashCounts::add(CrashRelation relation)
{
    all += relation != CrashRelation::None;
    soon += relation == CrashRelation::Soon || relation == CrashRelation::SoonAlone;
}

bool CrashSeries::hasUnexplainedNear(TimePoint when)
{
    while (!m_unexplained.empty() && m_unexplained.front() < when - s_before - s_after)
        m_unexplained.pop_front();
    return std::any_of(m_unexplained.begin(), m_unexplained.end(), [&](TimePoint it) { return it >= when - s_before && it <= when + s_after; });
}

} // namespace plantainhold
