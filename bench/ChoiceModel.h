// A queueing model of one entry instance and its executors, to compare the rules
// that choose an executor. Discrete events, no processes, same seed same figures.
#pragma once

#include "plantainhold/routing/ExecutorChoice.h"

#include <cstdint>

namespace plantainhold::bench {

struct ChoiceModelSpec {
    int executors = 8;
    // Slots of this instance on each.
    std::uint32_t slots = 4;
    // Share of the slots of healthy executors that the arrivals need.
    double load = 0.8;
    // How many times slower the first executor is.
    double slowFactor = 1;
    int requests = 40'000;
    std::uint32_t seed = 1;
};

struct ChoiceModelResult {
    double p50Ms = 0;
    double p99Ms = 0;
};

// Work is exponential around 20 ms; requests without a slot wait in order.
ChoiceModelResult runChoiceModel(const ChoiceModelSpec& spec, const ChoiceRule& rule);

} // namespace plantainhold::bench
