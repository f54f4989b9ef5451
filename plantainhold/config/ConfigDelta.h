// The difference between two documents, entry by entry and keyed by name. A document with
// hundreds of teams exceeds ten kilobytes, but a typical change is smaller than a hundred bytes.
#pragma once

#include "plantainhold/config/ConfigDocument.h"

#include <string>
#include <vector>

namespace plantainhold {

struct ConfigDelta {
    // Entries that were added or modified.
    ConfigDocument changed;
    std::vector<std::string> removedProfiles;
    std::vector<std::string> removedTeams;
    std::vector<std::string> removedServices;

    bool operator==(const ConfigDelta&) const = default;
};

// Sorts all entries by name, so that documents with equal contents compare equal. This and
// the following functions are thread-safe.
void sortByName(ConfigDocument& document);

// Returns the changes that turn base into next. Precondition: the names in each document are unique.
ConfigDelta deltaBetween(const ConfigDocument& base, const ConfigDocument& next);

// Returns the changed document sorted by name. applyDelta(a, deltaBetween(a, b)) equals b
// sorted by name.
ConfigDocument applyDelta(const ConfigDocument& base, const ConfigDelta& delta);

// Returns one line for each service whose treatment would change, with the reasons. A change
// of a profile or of a team is listed under every service that it affects.
std::vector<std::string> describeEffects(const ConfigDocument& base, const ConfigDocument& next);

} // namespace plantainhold
