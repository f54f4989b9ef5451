// Rules that choose the executor of the next request. They are listed in a table
// for the benchmark that compares them; see docs/design/requests.md.
#pragma once

#include <cstdint>
#include <optional>
#include <random>
#include <span>
#include <string_view>

namespace plantainhold {

struct ExecutorLoad {
    // Requests of this instance in flight, and their limit.
    std::uint32_t occupied = 0;
    std::uint32_t limit = 0;
    // Ratio of the executor's usual latency to the service's.
    double slowness = 1;

    bool hasCapacity() const { return occupied < limit; }
    // Expected time for one more request, in units of the service's usual latency.
    double cost() const { return (occupied + 1) * slowness / limit; }
};

using RandomSource = std::mt19937_64;

struct ChoiceRule {
    std::string_view name;
    // Returns the chosen index, or std::nullopt if no executor has capacity.
    std::optional<std::size_t> (*choose)(std::span<const ExecutorLoad> loads, RandomSource& random);
};

// Chooses a random executor with capacity.
std::optional<std::size_t> chooseRandom(std::span<const ExecutorLoad> loads, RandomSource& random);

// Chooses the one of two random executors that has the lower cost (power of two choices).
std::optional<std::size_t> chooseOfTwo(std::span<const ExecutorLoad> loads, RandomSource& random);

// Chooses the executor with the fewest requests in flight; ties are broken at random.
std::optional<std::size_t> chooseLeastLoaded(std::span<const ExecutorLoad> loads, RandomSource& random);

// Chooses the executor with the least cost; ties are broken at random.
std::optional<std::size_t> chooseLeastCost(std::span<const ExecutorLoad> loads, RandomSource& random);

// Returns all rules, for the benchmark. Thread-safe.
std::span<const ChoiceRule> choiceRules();

} // namespace plantainhold
