// Settings of one entry instance that schedules jobs. TOML; docs/OPERATIONS.md
// describes each key.
#pragma once

#include "plantainhold/jobs/SchedulerLimits.h"
#include "plantainhold/ports/Clock.h"

#include <cstdint>
#include <string>

namespace plantainhold {

struct EntrySettings {
    std::string instance;
    std::string dataCentre;
    // IP:port.
    std::string callersAddress;
    std::string readinessAddress;
    std::string metricsAddress;
    // Where other entry instances ask this one.
    std::string peersAddress;
    std::string storeAddress;
    // Empty: queues that need advice run nothing.
    std::string adviceAddress;
    std::string machinesAddress;
    // Processors that this instance may use.
    double cores = 1;
    // Partitions over which submissions are spread.
    std::uint32_t submissionPartitions = 1;
    // Shortest life of a membership that the store grants.
    Milliseconds minMembershipTtl { 1'000 };
    // From the signal to stop until the process is killed.
    Milliseconds stopGrace { 6'000 };
    // Nothing is started by a list of executors that was read longer ago.
    Milliseconds maxExecutorListAge { 1'000 };
    // A new owner that has not read all records by then gives the partition up, and
    // so does one whose rounds stand still for so long.
    Milliseconds restoreLimit { 6'000 };
    Milliseconds roundLimit { 3'000 };
    SchedulerLimits scheduler;
};

// Reads and checks the file. Throws ResultError with the number of the first fault. Thread-safe.
EntrySettings readEntrySettings(const std::string& path);

} // namespace plantainhold
