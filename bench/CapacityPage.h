// The tables of docs/CAPACITY.md, so that the page and the measurements agree.
#pragma once

#include <filesystem>
#include <string>

namespace plantainhold::bench {

struct CapacityMeasurements;

// Markdown of the slopes, the derived lines and the verdicts. Throws
// std::runtime_error when a measurement is missing. Thread-safe.
std::string capacityTables(const CapacityMeasurements& measurements);

// Replaces the tables of a page, between its two marks. Throws std::runtime_error
// when the page has none.
void writeTables(const CapacityMeasurements& measurements, const std::filesystem::path& page);

} // namespace plantainhold::bench
