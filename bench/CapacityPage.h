// The tables of docs/CAPACITY.md, so that the page and the measurements agree.
#pragma once

#include <string>

namespace plantainhold::bench {

struct CapacityMeasurements;

// Markdown of the slopes, the derived lines and the verdicts. Throws
// std::runtime_error when a measurement is missing. Thread-safe.
std::string capacityTables(const CapacityMeasurements& measurements);

} // namespace plantainhold::bench
