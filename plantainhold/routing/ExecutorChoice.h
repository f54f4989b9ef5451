// Which executor gets the next request. The rules stand in a table, so that the
// bench can compare them; docs/design/requests.md has the comparison.
#pragma once

#include <cstdint>
#include <optional>
#include <random>
#include <span>
#include <string_view>

namespace plantainhold {

struct ExecutorLoad {
    // Requests of this instance in flight, and how many there may be.
    std::uint32_t occupied = 0;
    std::uint32_t limit = 0;
    // Usual latency over that of the service.
    double slowness = 1;

    bool hasCapacity() const { return occupied < limit; }
    // Expected time that one more request takes, in units of the service's own.
    double cost() const { return (occupied + 1) * slowness / limit; }
};

using RandomSource = std::mt19937_64;

struct ChoiceRule {
    std::string_view name;
    // The chosen index; nothing when no executor has room.
    std::optional<std::size_t> (*choose)(std::span<const ExecutorLoad> loads, RandomSource& random);
};

// Any executor with room.
std::optional<std::size_t> chooseRandom(std::span<const ExecutorLoad> loads, RandomSource& random);

// The less loaded of two random ones (power of two choices).
std::optional<std::size_t> chooseOfTwo(std::span<const ExecutorLoad> loads, RandomSource& random);

// The one with the fewest in flight of all; ties are broken at random.
std::optional<std::size_t> chooseLeastLoaded(std::span<const ExecutorLoad> loads, RandomSource& random);

// The one with the least cost of all; ties are broken at random.
std::optional<std::size_t> chooseLeastCost(std::span<const ExecutorLoad> loads, RandomSource& random);

// All rules, for the bench. Thread-safe.
std::span<const ChoiceRule> choiceRules();

} // namespace plantainhold
