// One immutable version of the configuration, as the request path reads it.
#pragma once

#include "plantainhold/config/ConfigDocument.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace plantainhold {

struct ConfigSnapshot {
    // 0 before any configuration is known. Versions count up by one.
    std::uint64_t version = 0;
    std::string winnerId;
    ConfigDocument document;

    // Return the entry with the name, or null. These and the following methods are thread-safe.
    const Profile* findProfile(std::string_view name) const;
    const Team* findTeam(std::string_view name) const;
    const Service* findService(std::string_view name) const;
    // Returns the service with the longest path prefix that matches the request target, or null.
    const Service* routeTarget(std::string_view target) const;
    // Whether the team may call the service. Teams that the document does not define may not.
    bool admits(const Service& service, std::string_view team) const;
};

} // namespace plantainhold
