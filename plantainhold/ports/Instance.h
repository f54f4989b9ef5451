// One instance of the platform's list.
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
    // The service that an executor answers for.
    std::string service;
    bool isLeaving = false;
    std::uint32_t slots = 0;

    bool operator==(const Instance&) const = default;
};

} // namespace plantainhold
