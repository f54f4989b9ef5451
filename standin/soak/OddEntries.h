// Entries as another writer may put them into the store beside those of the executors.
#pragma once

#include <cstddef>
#include <string>

namespace plantainhold::soak {

inline constexpr std::size_t s_oddEntryKinds = 12;

// Returns an entry that is odd in one respect and otherwise like the sound entry given.
// Precondition: kind < s_oddEntryKinds. Thread-safe.
std::string oddEntry(std::size_t kind, const std::string& soundEntry);

} // namespace plantainhold::soak
