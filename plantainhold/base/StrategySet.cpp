// The strategy names, expanded from Strategies.inc.

#include "plantainhold/base/StrategySet.h"

#include <algorithm>
#include <array>

namespace plantainhold {

namespace {

    constexpr auto s_names = std::to_array<std::string_view>({
#define PLANTAINHOLD_STRATEGY(name, meaning) #name,
#include "plantainhold/base/Strategies.inc"
#undef PLANTAINHOLD_STRATEGY
    });

} // namespace

StrategySet::StrategySet()
{
    m_used.set();
}

bool StrategySet::remove(std::string_view name)
{
    auto it = std::find(s_names.begin(), s_names.end(), name);
    if (it == s_names.end())
        return false;
    m_used.reset(static_cast<std::size_t>(it - s_names.begin()));
    return true;
}

} // namespace plantainhold
