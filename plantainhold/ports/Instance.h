// One entry of the platform's list of instances.
#pragma once

#include <cstdint>
#include <string>

namespace plantainhold {

enum class InstanceKind : std::uint8_t {
    Entry = 1,
    Executor = 2,
    Worker = 3,
};

struct Instance {
    std::string id;
    InstanceKind kind = InstanceKind::Entry;
    // IP:port; an entry instance lists its control address.
    std::string address;
    std::string dataCentre;
    std::string rack;
    // The service that an executor serves.
    std::string service;
    bool isLeaving = false;
    // Number of requests that an executor runs concurrently.
    std::uint32_t slots = 0;

    bool operator==(const Instance&) const = default;
};

} // namespace plantainhold
