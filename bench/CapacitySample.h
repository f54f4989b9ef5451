// What one measurement of an installation gave.
#pragma once

#include <string>
#include <vector>

namespace plantainhold::bench {

// The cost of one entry instance; bytes count both directions and both ends.
struct InstanceCost {
    std::string instance;
    double processorPercent = 0;
    double memoryMb = 0;
    double logBytesASecond = 0;
    double listBytesASecond = 0;
    double peerBytesASecond = 0;
    double workerBytesASecond = 0;

    double bytesASecond() const { return logBytesASecond + listBytesASecond + peerBytesASecond + workerBytesASecond; }
};

struct CapacitySample {
    double seconds = 0;
    std::vector<InstanceCost> instances;
    // Appends that the log took, for all instances together.
    double appendsASecond = 0;
    double appendedBytesASecond = 0;
    // What truly happened in the window, by the journals.
    double startsASecond = 0;
    double claimsASecond = 0;
    double changesASecond = 0;

    // Sums over all instances.
    InstanceCost total() const;
    // The mean of one instance.
    InstanceCost mean() const;
};

} // namespace plantainhold::bench
