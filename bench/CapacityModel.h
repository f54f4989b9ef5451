// From measured slopes to the cost at the size that the system is designed for.
// Every line is a sum of products of a slope and a size; nothing is guessed that
// is not named as an assumption.
#pragma once

#include "bench/CapacityMeasurements.h"

#include <string>
#include <vector>

namespace plantainhold::bench {

// The size to design for.
struct DesignSize {
    double workers = 3100;
    double dataCentres = 7;
    double instancesADataCentre = 8;
    double runningTasks = 32'000;
    double startsASecond = 280;
    double changesADay = 5000;
    double teams = 390;
    double restartsADay = 490;
    double failuresADay = 42;
    // Assumptions; the sizes are not given.
    double executors = 3100;
    double claimsASecond = 100;
    // Instances that share a rack.
    double instancesARack = 2;

    double instances() const { return dataCentres * instancesADataCentre; }
};

struct Budget {
    double processorPercent = 3.8;
    double memoryMb = 128;
    double bytesASecond = 4096;
    // "Several hundred" for everything.
    double appendsASecond = 400;
};

// What one more of something costs.
struct Slope {
    std::string of;
    // The measurements whose difference it is.
    std::string from;
    double processorPercent = 0;
    double memoryMb = 0;
    double logBytes = 0;
    double listBytes = 0;
    double peerBytes = 0;
    double workerBytes = 0;
    double appends = 0;

    double bytes() const { return logBytes + listBytes + peerBytes + workerBytes; }
};

// One row of the derived table. A negative figure does not apply.
struct CapacityLine {
    std::string role;
    std::string what;
    // How many of it there are at the design size.
    double units = 0;
    double bytesASecond = -1;
    double processorPercent = -1;
    double memoryMb = -1;
    double appendsASecond = -1;
    // Bytes exchanged once, in kB, when it happens.
    double onceKilobytes = -1;
    std::string mechanism;
    // The measurements that the figures come from; empty for a sum.
    std::string from;
    // Whether the budget applies to this row, which is a sum.
    bool isLimited = false;
};

// A figure of a row against what is allowed.
struct CapacityVerdict {
    std::string what;
    double figure = 0;
    double budget = 0;

    bool fits() const { return figure <= budget; }
};

// One verdict for each figure of the rows to which the budget applies. Thread-safe.
std::vector<CapacityVerdict> judgeLines(const std::vector<CapacityLine>& lines, const Budget& budget);

// Throws std::runtime_error when a measurement is missing. Thread-safe.
std::vector<Slope> deriveSlopes(const CapacityMeasurements& measurements);
std::vector<CapacityLine> deriveLines(const CapacityMeasurements& measurements, const DesignSize& size);

} // namespace plantainhold::bench
