// Binds one key of a TOML table to the variable that receives its value.
#pragma once

#include "plantainhold/ports/Clock.h"

#include <cstdint>
#include <limits>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace plantainhold {

// A value written as one of several names and stored as the index of that name.
struct NamedChoice {
    std::uint8_t* target;
    std::span<const std::string_view> names;
};

struct FieldBinding {
    using Target = std::variant<std::string*, std::int64_t*, bool*, Milliseconds*, std::vector<std::string>*, NamedChoice>;

    std::string_view key;
    Target target;
    bool isRequired = false;
    // Inclusive bounds of integers and durations. Durations are in milliseconds.
    std::int64_t minimum = 0;
    std::int64_t maximum = std::numeric_limits<std::int32_t>::max();
    // Whether the string must be a numeric address with a port (IP:port).
    bool isAddress = false;
};

} // namespace plantainhold
