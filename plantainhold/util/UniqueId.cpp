// Draws unique ids from the operating system's random number generator.

#include "plantainhold/util/UniqueId.h"

#include <cstdint>
#include <cstdio>
#include <random>

namespace plantainhold {

std::string makeUniqueId(std::string_view prefix)
{
    thread_local std::random_device s_source;
    std::string id(prefix);
    id += '-';
    constexpr int s_words = 4;
    for (int i = 0; i < s_words; ++i) {
        char buf[9];
        std::snprintf(buf, sizeof buf, "%08x", static_cast<std::uint32_t>(s_source()));
        id += buf;
    }
    return id;
}

} // namespace plantainhold
