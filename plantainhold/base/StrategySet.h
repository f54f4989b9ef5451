// Which guarding strategies a daemon uses. The product always uses all of them:
// no setting reaches this. A proof's negative control builds a daemon without
// one, and its checker must then find the fault that the strategy guards against.
#pragma once

#include <bitset>
#include <cstdint>
#include <string_view>

namespace plantainhold {

enum class Strategy : std::uint8_t {
#define PLANTAINHOLD_STRATEGY(name, meaning) name,
#include "plantainhold/base/Strategies.inc"
#undef PLANTAINHOLD_STRATEGY
    Count,
};

class StrategySet {
public:
    // All strategies are in use. Thread-safe for reading.
    StrategySet();

    bool uses(Strategy strategy) const { return m_used[static_cast<std::size_t>(strategy)]; }

    // Switches one off by its name. False when there is none of that name.
    bool remove(std::string_view name);

private:
    std::bitset<static_cast<std::size_t>(Strategy::Count)> m_used;
};

} // namespace plantainhold
