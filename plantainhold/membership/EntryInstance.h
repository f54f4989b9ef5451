// What this instance knows of one entry instance, itself included.
#pragma once

#include "plantainhold/ports/Clock.h"

#include <cstdint>
#include <string>

namespace plantainhold {

struct EntryInstance {
    std::string id;
    std::string dataCentre;
    // IP:port.
    std::string controlAddress;
    // Unique a process start; empty before the instance was heard.
    std::string incarnation;
    std::uint64_t configVersion = 0;
    bool isDraining = false;
    // When its heartbeat was last seen to advance, by this process's clock.
    TimePoint lastHeartbeatAt;

    bool operator==(const EntryInstance&) const = default;
};

} // namespace plantainhold
