// A random schedule of faults, drawn from a seed: the same seed and topology give
// the same schedule. Faults overlap, and each is undone after a while.
#pragma once

#include "standin/proving/Scenario.h"

#include <chrono>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace plantainhold::standin {

struct ChaosAction {
    std::chrono::milliseconds at { 0 };
    Step step;
};

// What faults can hit.
struct ChaosTargets {
    std::vector<std::string> entries;
    std::vector<std::string> workers;
    std::vector<std::string> workerProcesses;
    std::vector<std::string> executors;
    // Kinds of links that go through the proxy.
    std::vector<std::string> proxied;
};

struct ChaosPlan {
    std::uint64_t seed = 1;
    std::chrono::milliseconds duration { 0 };
    // Mean time between the beginnings of two faults.
    std::chrono::milliseconds interval { 0 };
    std::vector<std::string> faults;
};

// Names of all faults. Thread-safe.
std::span<const std::string_view> chaosFaults();

// The actions in the order of time; the last ones undo everything that still lasts.
// Throws ScenarioError on an unknown fault or one that has nothing to hit. Thread-safe.
std::vector<ChaosAction> drawChaos(const ChaosPlan& plan, const ChaosTargets& targets);

} // namespace plantainhold::standin
