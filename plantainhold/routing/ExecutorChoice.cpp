// All rules share one scan that starts at a random index and takes the first
// minimum, so that ties are broken at random without a second random number.

#include "plantainhold/routing/ExecutorChoice.h"

#include <array>

namespace plantainhold {

namespace {

    template <typename Cost>
    std::optional<std::size_t> chooseLeast(std::span<const ExecutorLoad> loads, RandomSource& random, Cost cost)
    {
        if (loads.empty())
            return std::nullopt;
        std::size_t start = random() % loads.size();
        std::optional<std::size_t> best;
        for (std::size_t i = 0; i < loads.size(); ++i) {
            std::size_t at = (start + i) % loads.size();
            if (loads[at].hasCapacity() && (!best || cost(loads[at]) < cost(loads[*best])))
                best = at;
        }
        return best;
    }

    double fewest(const ExecutorLoad& load)
    {
        return load.occupied;
    }

    double leastCost(const ExecutorLoad& load)
    {
        return load.cost();
    }

} // namespace

std::optional<std::size_t> chooseRandom(std::span<const ExecutorLoad> loads, RandomSource& random)
{
    return chooseLeast(loads, random, [](const ExecutorLoad&) { return 0.0; });
}

std::optional<std::size_t> chooseOfTwo(std::span<const ExecutorLoad> loads, RandomSource& random)
{
    std::optional<std::size_t> first = chooseRandom(loads, random);
    std::optional<std::size_t> second = chooseRandom(loads, random);
    if (!first || !second)
        return first;
    return loads[*first].cost() <= loads[*second].cost() ? first : second;
}

std::optional<std::size_t> chooseLeastLoaded(std::span<const ExecutorLoad> loads, RandomSource& random)
{
    return chooseLeast(loads, random, fewest);
}

std::optional<std::size_t> chooseLeastCost(std::span<const ExecutorLoad> loads, RandomSource& random)
{
    return chooseLeast(loads, random, leastCost);
}

std::span<const ChoiceRule> choiceRules()
{
    static constexpr std::array<ChoiceRule, 4> s_rules { {
        { "random", &chooseRandom },
        { "two choices", &chooseOfTwo },
        { "least loaded", &chooseLeastLoaded },
        { "least cost", &chooseLeastCost },
    } };
    return s_rules;
}

} // namespace plantainhold
