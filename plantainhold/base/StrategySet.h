// The set of protective strategies that a daemon uses. In production all of them are
// enabled, and no setting changes this. A scenario's negative control runs a daemon with
// one strategy disabled, and the checker must then detect the fault that the strategy
// prevents.
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
    // Enables all strategies. Concurrent reads are thread-safe; remove() is not.
    StrategySet();

    bool uses(Strategy strategy) const { return m_used[static_cast<std::size_t>(strategy)]; }

    // Disables the strategy with this name. Returns false if there is no such strategy.
    bool remove(std::string_view name);

private:
    std::bitset<static_cast<std::size_t>(Strategy::Count)> m_used;
};

} // namespace plantainhold
