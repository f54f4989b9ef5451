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

struct CapacityLine {
    std::string role;
    std::string what;
    double figure = 0;
    std::string unit;
    // 0 when nothing limits this line alone.
    double budget = 0;
    std::string mechanism;
    std::string from;

    bool fits() const { return budget == 0 || figure <= budget; }
};

// Throws std::runtime_error when a measurement is missing. Thread-safe.
std::vector<Slope> deriveSlopes(const CapacityMeasurements& measurements);
std::vector<CapacityLine> deriveLines(const CapacityMeasurements& measurements, const DesignSize& size, const Budget& budget);

} // namespace plantainhold::bench
