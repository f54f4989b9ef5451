// The queues, services and limits that the configuration in force defines.
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
    // The service whose executors run the queue's tasks.
    std::string service;
    // 0 is the highest priority.
    std::int32_t priority = 0;
    std::uint32_t maxAttempts = 1;
    // A job's objective is this factor times its critical path, plus targetLatencyMs.
    double deadlineFactor = 1;
    std::uint32_t targetLatencyMs = 0;
    std::uint32_t timeoutMs = 0;
    // The advice service must approve the executors of each step.
    bool needsAdvice = false;
};

struct ServiceRule {
    std::string name;
    // Its executors reject starts that exceed their capacity.
    bool enforcesCapacity = false;
    // Its machines are powered off.
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

    // Returns the queue of this host with the longest prefix of the path; nullptr if there is none.
    const Queue* route(std::string_view host, std::string_view path) const;
};

} // namespace plantainhold
