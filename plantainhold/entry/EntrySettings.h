// Settings of one instance of the jobs daemon, read from a TOML file.
// docs/OPERATIONS.md describes each key.
#pragma once

#include "plantainhold/jobs/SchedulerLimits.h"
#include "plantainhold/ports/Clock.h"
#include "plantainhold/store/StoreLimits.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace plantainhold {

struct EntrySettings {
    std::string instance;
    std::string dataCentre;
    // All addresses are IP:port.
    std::string callersAddress;
    std::string readinessAddress;
    std::string metricsAddress;
    // Receives the requests of other entry instances.
    std::string peersAddress;
    std::string storeAddress;
    // If empty, queues that need advice run nothing.
    std::string adviceAddress;
    std::string machinesAddress;
    // Number of processors that this instance may use.
    double cores = 1;
    // Memory that this instance may use, in MiB, and descriptors that it may have open.
    std::size_t memoryMb = 160;
    std::size_t maxDescriptors = 4'096;
    // Number of partitions over which submissions are spread.
    std::uint32_t submissionPartitions = 1;
    StoreLimits storeLimits;
    // Submissions are refused unsent while the store is known to be away.
    bool refusesWhileStoreIsAway = false;
    // Shortest time to live that the store grants to a group membership.
    Milliseconds minMembershipTtl { 1'000 };
    // Time between the stop signal and the moment when the process is killed.
    Milliseconds stopGrace { 6'000 };
    // No run is started if the list of executors was read longer ago than this.
    Milliseconds maxExecutorListAge { 1'000 };
    // A new owner gives up the partition if it has not read all records within
    // restoreLimit, and any owner does if no scheduling round runs for roundLimit.
    Milliseconds restoreLimit { 6'000 };
    Milliseconds roundLimit { 3'000 };
    SchedulerLimits scheduler;
    // Keys that have their defaults because their fields in the template were not filled in.
    std::vector<std::string> unfilled;
};

// Reads and validates the file. Throws ResultError with the code of the first invalid setting. Thread-safe.
EntrySettings readEntrySettings(const std::string& path);

} // namespace plantainhold
