// Stable hashes: the same on every instance and in every version.
#pragma once

#include <cstdint>
#include <string_view>

namespace plantainhold {

// XXH3, 64 bits. Thread-safe.
std::uint64_t hash64(std::string_view bytes, std::uint64_t seed = 0);

// The weight of a node for a key in rendezvous hashing: the highest weight wins. Thread-safe.
std::uint64_t rendezvousWeight(std::string_view key, std::string_view node);

} // namespace plantainhold
