// One version of the configuration, immutable, as the request path reads it.
#pragma once

#include "plantainhold/config/ConfigDocument.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace plantainhold {

struct ConfigSnapshot {
    // 0 before any configuration is known.
    std::uint64_t version = 0;
    std::string winnerId;
    ConfigDocument document;

    // Null when there is none of that name. Thread-safe, as all that follows.
    const Profile* findProfile(std::string_view name) const;
    const Team* findTeam(std::string_view name) const;
    const Service* findService(std::string_view name) const;
    // The service with the longest prefix that matches the target.
    const Service* routeTarget(std::string_view target) const;
    // Whether the team may call the service.
    bool admits(const Service& service, std::string_view team) const;
};

} // namespace plantainhold
