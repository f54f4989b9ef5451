// The settings of one daemon, which are read once from its TOML file. Options that operators
// change at run time are part of the published configuration instead.
#pragma once

#include "plantainhold/ports/Clock.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace plantainhold {

struct Diagnostic;

struct Settings {
    std::string instanceId;
    std::string dataCentre;
    std::string region = "default";
    // HTTP: requests of callers.
    std::string callerAddress;
    // gRPC: peers and the command-line tool.
    std::string controlAddress;
    // HTTP: /metrics, /healthz, /readyz.
    std::string metricsAddress;

    std::string logAddress;
    std::string instancesAddress;
    Milliseconds instancesPoll { 500 };
    Milliseconds logTimeout { 1000 };
    // How long records wait to be appended in one batch.
    Milliseconds commitInterval { 20 };

    std::int64_t requestThreads = 2;
    std::int64_t requestBodyLimitBytes = 8 << 20;
    std::int64_t responseBodyLimitBytes = 64 << 20;
    std::int64_t connectionLimit = 4096;

    // Number of shards of workers in this data centre; must be the same on all of its instances.
    std::int64_t shards = 2;
    Milliseconds shardLease { 3000 };
    Milliseconds leaseMargin { 500 };
    Milliseconds taskLease { 6000 };
    Milliseconds workerPoll { 500 };
    // How long a shard's owner continues to renew running tasks while the log is unreachable.
    Milliseconds renewWithoutLog { 900000 };
    std::int64_t claimPartitions = 4;
    // How long after it was sent a claim may be dispatched.
    Milliseconds claimValidity { 5000 };
    // How long a key is kept after its last record.
    Milliseconds claimRetention { 3'600'000 };
    std::int64_t claimKeyLimit = 200'000;

    Milliseconds drainLinger { 2000 };
    Milliseconds drainLimit { 30000 };

    // How often counters are written to the log, so that they survive this instance.
    Milliseconds reportInterval { 60000 };
};

// Parses and validates a settings file. The name appears in the diagnostics. Replaces faults by
// the diagnostics found; the settings may only be used if there are none. Thread-safe.
Settings parseSettings(std::string_view text, std::string name, std::vector<Diagnostic>& faults);

} // namespace plantainhold
