// Stable hash functions: their results are the same on every instance and in every
// version of the program.
#pragma once

#include <cstdint>
#include <string_view>

namespace plantainhold {

// 64-bit XXH3. Thread-safe.
std::uint64_t hash64(std::string_view bytes, std::uint64_t seed = 0);

// Returns the weight of a node for a key in rendezvous hashing: the key belongs to the
// node with the highest weight. Thread-safe.
std::uint64_t rendezvousWeight(std::string_view key, std::string_view node);

} // namespace plantainhold
