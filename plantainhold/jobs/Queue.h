// A queue as the configuration in force describes it.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace plantainhold {

struct Queue {
    std::string name;
    std::string host;
    std::string pathPrefix;
    // Names the executors that run the queue's tasks.
    std::string service;
    // 0 comes first.
    std::int32_t priority = 0;
    std::uint32_t maxAttempts = 1;
    // The objective of a job: this factor times its longest chain of work, and the latency on top.
    double deadlineFactor = 1;
    std::uint32_t targetLatencyMs = 0;
    std::uint32_t timeoutMs = 0;
    // Executors have to be approved for each step first.
    bool needsAdvice = false;
};

struct ServiceRule {
    std::string name;
    // Its executors reject what does not fit.
    bool enforcesCapacity = false;
    // Its machines are off.
    bool isStandby = false;
};

struct HttpLimits {
    std::uint32_t maxHeaderBytes = 16'384;
    std::uint32_t maxBodyBytes = 262'144;
    std::uint32_t headerTimeoutMs = 3'000;
    std::uint32_t idleTimeoutMs = 15'000;
};

struct FleetConfig {
    std::uint64_t version = 0;
    std::vector<Queue> queues;
    std::vector<ServiceRule> services;
    HttpLimits limits;

    // The queue with this host whose prefix is the longest that the path begins with; null when there is none.
    const Queue* route(std::string_view host, std::string_view path) const;
};

} // namespace plantainhold
