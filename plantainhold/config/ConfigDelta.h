// What one document changes against another, by name. A document of hundreds of
// teams is tens of kilobytes; a usual change to it is a hundred bytes.
#pragma once

#include "plantainhold/config/ConfigDocument.h"

#include <string>
#include <vector>

namespace plantainhold {

struct ConfigDelta {
    // Entries that are new or different.
    ConfigDocument changed;
    std::vector<std::string> removedProfiles;
    std::vector<std::string> removedTeams;
    std::vector<std::string> removedServices;

    bool operator==(const ConfigDelta&) const = default;
};

// Puts all entries in the order of their names, so that equal contents are equal
// documents. Thread-safe, as all that follows.
void sortByName(ConfigDocument& document);

// Precondition: the names in each document are unique.
ConfigDelta deltaBetween(const ConfigDocument& base, const ConfigDocument& next);

// Sorted by name. applyDelta(a, deltaBetween(a, b)) equals b sorted by name.
ConfigDocument applyDelta(const ConfigDocument& base, const ConfigDelta& delta);

// One line for each service that would be treated differently, and why. A change
// of a profile or a team's department shows at every service that it reaches.
std::vector<std::string> describeEffects(const ConfigDocument& base, const ConfigDocument& next);

} // namespace plantainhold
