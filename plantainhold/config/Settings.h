// The settings of one daemon, read once from its TOML file. What operators
// change at run time is not here but in the published configuration.
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
    // Where callers' HTTP requests arrive.
    std::string callerAddress;
    // gRPC: peers and the command-line tool.
    std::string controlAddress;
    // HTTP: /metrics, /healthz, /readyz.
    std::string metricsAddress;

    std::string logAddress;
    std::string instancesAddress;
    Milliseconds instancesPoll { 500 };
    Milliseconds logTimeout { 1000 };
    // How long records wait for company before they are appended together.
    Milliseconds commitInterval { 20 };

    std::int64_t requestThreads = 2;
    std::int64_t requestBodyLimitBytes = 8 << 20;
    std::int64_t responseBodyLimitBytes = 64 << 20;
    std::int64_t connectionLimit = 4096;

    // Shards of workers in this data centre; the same on each of its instances.
    std::int64_t shards = 2;
    Milliseconds shardLease { 3000 };
    Milliseconds leaseMargin { 500 };
    Milliseconds taskLease { 6000 };
    Milliseconds workerPoll { 500 };
    // How long an owner without the log goes on renewing what already runs.
    Milliseconds renewWithoutLog { 900000 };
    std::int64_t claimPartitions = 4;
    // How long after it was sent a claim may still be dispatched.
    Milliseconds claimValidity { 5000 };
    // How long a key is remembered after its last record.
    Milliseconds claimRetention { 3'600'000 };
    std::int64_t claimKeyLimit = 200'000;

    Milliseconds drainLinger { 2000 };
    Milliseconds drainLimit { 30000 };

    // How often counts are left in the log, so that they outlive this instance.
    Milliseconds reportInterval { 60000 };
};

// Reads and checks the text of a settings file with this name; each fault is one
// diagnostic, and the settings may only be used when there are none. Thread-safe.
Settings parseSettings(std::string_view text, std::string name, std::vector<Diagnostic>& faults);

} // namespace plantainhold
