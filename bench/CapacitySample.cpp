// Sums and means over instances.

#include "bench/CapacitySample.h"

namespace plantainhold::bench {

InstanceCost CapacitySample::total() const
{
    InstanceCost sum;
    sum.instance = "all";
    for (const InstanceCost& it : instances) {
        sum.processorPercent += it.processorPercent;
        sum.memoryMb += it.memoryMb;
        sum.logBytesASecond += it.logBytesASecond;
        sum.listBytesASecond += it.listBytesASecond;
        sum.peerBytesASecond += it.peerBytesASecond;
        sum.workerBytesASecond += it.workerBytesASecond;
    }
    return sum;
}

InstanceCost CapacitySample::mean() const
{
    InstanceCost cost = total();
    cost.instance = "mean";
    auto n = static_cast<double>(instances.size());
    for (double* it : { &cost.processorPercent, &cost.memoryMb, &cost.logBytesASecond, &cost.listBytesASecond, &cost.peerBytesASecond, &cost.workerBytesASecond })
        *it /= n;
    return cost;
}

} // namespace plantainhold::bench
