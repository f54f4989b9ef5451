// Renders the metrics page of one entry instance.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

namespace plantainhold {

class ConnectionBudget;
class JobScheduler;
struct ServiceCounters;

struct MetricsInput {
    const ServiceCounters& service;
    std::size_t knownJobs = 0;
    // Null while this instance does not own the partition.
    const JobScheduler* scheduler = nullptr;
    std::size_t queuedCommands = 0;
    std::uint64_t configVersion = 0;
    std::uint64_t droppedLines = 0;
    // Records that the store did not take from this owner.
    std::uint64_t refusedRecords = 0;
    const ConnectionBudget& connections;
};

// Returns the metrics in the Prometheus text format. Thread-safe as long as nobody
// modifies the objects that the input refers to.
std::string renderMetrics(const MetricsInput& input);

} // namespace plantainhold
