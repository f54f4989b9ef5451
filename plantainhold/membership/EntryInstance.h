// The state of one entry instance (possibly this one) as this instance knows it.
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
    // Unique for each start of the process; empty before the first message of the instance.
    std::string incarnation;
    std::uint64_t configVersion = 0;
    bool isDraining = false;
    // When its heartbeat last advanced, by this process's clock.
    TimePoint lastHeartbeatAt;

    bool operator==(const EntryInstance&) const = default;
};

} // namespace plantainhold
