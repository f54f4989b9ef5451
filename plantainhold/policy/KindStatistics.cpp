// Quantiles of the latest observations of each kind.
#include "plantainhold/policy/KindStatistics.h"

#include <algorithm>

namespace plantainhold {

namespace {

    // Processors are compressible: a task that lacks them runs slower. Memory is not: a task
    // that lacks it is killed, so the largest observation and a margin are reserved.
    constexpr double s_processorQuantile = 0.9;
    constexpr double s_processorMargin = 1.04;
    constexpr double s_memoryMargin = 1.1;
    constexpr double s_runTimeQuantile = 0.75;
    constexpr double s_exhaustedGrowth = 1.4;
    constexpr std::int64_t s_minReservedMillicores = 100;
    constexpr double s_milli = 1000;

} // namespace

double KindStatistics::Ring::quantile(double share) const
{
    std::array<float, s_ring> sorted = values;
    std::size_t n = size();
    std::size_t rank = std::min(n - 1, static_cast<std::size_t>(share * static_cast<double>(n)));
    std::nth_element(sorted.begin(), sorted.begin() + static_cast<std::ptrdiff_t>(rank), sorted.begin() + static_cast<std::ptrdiff_t>(n));
    return sorted[rank];
}

KindStatistics::Kind& KindStatistics::kindOf(NameId kind)
{
    if (kind >= m_kinds.size())
        m_kinds.resize(kind + std::size_t(1));
    return m_kinds[kind];
}

const KindStatistics::Kind* KindStatistics::find(NameId kind) const
{
    return kind < m_kinds.size() ? &m_kinds[kind] : nullptr;
}

void KindStatistics::observeUse(NameId kind, const Resources& used)
{
    Kind& it = kindOf(kind);
    it.millicores.add(static_cast<double>(used.millicores));
    it.memoryMib.add(static_cast<double>(used.memoryMib));
}

void KindStatistics::observeExhaustedProcessors(NameId kind, std::int64_t reservedMillicores)
{
    kindOf(kind).millicores.add(static_cast<double>(reservedMillicores) * s_exhaustedGrowth);
}

void KindStatistics::observeExhaustedMemory(NameId kind, std::int64_t reservedMib)
{
    kindOf(kind).memoryMib.add(static_cast<double>(reservedMib) * s_exhaustedGrowth);
}

void KindStatistics::observeRunTime(NameId kind, Milliseconds declared, Milliseconds actual)
{
    kindOf(kind).timeRatio.add(static_cast<double>(actual.count()) / static_cast<double>(declared.count()));
}

Resources KindStatistics::demandOf(NameId kind, const Resources& declared) const
{
    const Kind* it = find(kind);
    if (!it)
        return declared;
    Resources demand = declared;
    if (it->millicores.size() >= s_minObservations)
        demand.millicores = std::max(s_minReservedMillicores, static_cast<std::int64_t>(it->millicores.quantile(s_processorQuantile) * s_processorMargin));
    if (it->memoryMib.size() >= s_minObservations)
        demand.memoryMib = static_cast<std::int64_t>(it->memoryMib.quantile(1) * s_memoryMargin);
    else if (it->memoryMib.size())
        demand.memoryMib = std::max(demand.memoryMib, static_cast<std::int64_t>(it->memoryMib.quantile(1)));
    return demand;
}

double KindStatistics::busyCores(NameId kind, const Resources& reserved) const
{
    const Kind* it = find(kind);
    auto millicores = static_cast<double>(reserved.millicores);
    if (it && it->millicores.size())
        millicores = std::min(millicores, it->millicores.quantile(0.5));
    return millicores / s_milli;
}

Milliseconds KindStatistics::runTimeOf(NameId kind, Milliseconds declared) const
{
    const Kind* it = find(kind);
    if (!it || it->timeRatio.size() < s_minObservations)
        return declared;
    return Milliseconds(static_cast<std::int64_t>(static_cast<double>(declared.count()) * it->timeRatio.quantile(s_runTimeQuantile)));
}

} // namespace plantainhold
