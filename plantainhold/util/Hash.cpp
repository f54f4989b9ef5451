// Hash functions built on xxHash.

#include "plantainhold/util/Hash.h"

#include <xxhash.h>

namespace plantainhold {

std::uint64_t hash64(std::string_view bytes, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

std::uint64_t rendezvousWeight(std::string_view key, std::string_view node)
{
    return hash64(node, hash64(key));
}

} // namespace plantainhold
