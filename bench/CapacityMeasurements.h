// The measurements that the capacity page rests on, as they are kept in
// docs/bench/capacity.json.
#pragma once

#include "bench/CapacityRig.h"
#include "bench/CapacitySample.h"

#include <filesystem>
#include <string_view>
#include <vector>

namespace plantainhold::bench {

struct Experiment {
    std::string name;
    RigShape shape;
    RigLoad load;
    // Whether the sample is that of an instance that restarts under this load.
    bool isRestart = false;
};

struct Measurement {
    Experiment experiment;
    CapacitySample sample;
};

struct CapacityMeasurements {
    std::string commit;
    std::string machine;
    unsigned seed = 1;
    std::vector<Measurement> all;

    // Throws std::runtime_error when there is none of this name.
    const Measurement& find(std::string_view name) const;
};

// Every experiment that the model needs, in the order in which to run them.
std::vector<Experiment> capacityExperiments();

// Both throw std::runtime_error.
void writeMeasurements(const CapacityMeasurements& measurements, const std::filesystem::path& file);
CapacityMeasurements readMeasurements(const std::filesystem::path& file);

} // namespace plantainhold::bench
