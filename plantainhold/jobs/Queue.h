// The queues, services and limits that the configuration in force defines.
#pragma once

#include "plantainhold/jobs/QueueSettings.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace plantainhold {

struct Queue {
    std::string name;
    std::string host;
    std::string pathPrefix;
    std::uint32_t timeoutMs = 0;
    QueueSettings settings;
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

class FleetConfig {
public:
    explicit FleetConfig(std::uint64_t version = 0)
        : m_version(version)
    {
    }

    std::uint64_t version() const { return m_version; }
    // Adds a queue; its settings take this version and the queue's address. Of two queues with one name the
    // later one counts. Not thread-safe.
    void add(Queue queue);
    const std::vector<Queue>& queues() const { return m_queues; }
    // Returns the queue of this host with the longest prefix of the path; nullptr if there is none. Thread-safe
    // while no queue is added, like settingsFor().
    const Queue* route(std::string_view host, std::string_view path) const;
    // Returns the settings in force for a job of this queue that has had the given ones: those of this
    // configuration if it is not older and has a queue at the same address, whatever its name, else the given ones.
    // The reference is valid as long as both the configuration and the argument are.
    const QueueSettings& settingsFor(const std::string& queue, const QueueSettings& former) const;
    // Returns QueueSettings::addressHash of a queue with this host and path prefix. Thread-safe.
    static std::uint32_t addressHashOf(std::string_view host, std::string_view pathPrefix);

    std::vector<ServiceRule> services;
    HttpLimits limits;

private:
    // The queues of one host: by path prefix, and the lengths that prefixes have, the longest first.
    struct HostQueues {
        std::unordered_map<std::string, std::size_t> byPrefix;
        std::set<std::size_t, std::greater<>> lengths;
    };

    // Returns the queue to which a job belongs that was handed in to the queue of this name, under these settings;
    // nullptr if there is none.
    const Queue* queueOf(const std::string& name, const QueueSettings& former) const;

    std::uint64_t m_version = 0;
    std::vector<Queue> m_queues;
    std::unordered_map<std::string, std::size_t> m_indexByName;
    std::unordered_map<std::uint32_t, std::size_t> m_indexByAddress;
    std::unordered_map<std::string, HostQueues> m_hosts;
};

} // namespace plantainhold
