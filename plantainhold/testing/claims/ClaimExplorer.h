// Explores every interleaving of a small world around one key: two instances
// with their own reading positions, appends that land late, twice told or never,
// pauses, a crash, a request that could not be dispatched, time, and forgetting.
// The decisions are the product's own ClaimReducer and ClaimLifecycle; the oracle only
// counts what truly ran and compares it with what callers were told.
#pragma once

#include "plantainhold/claims/ClaimLifecycle.h"

#include <cstddef>
#include <memory>
#include <optional>
#include <string>

namespace plantainhold {

struct ExplorerScope {
    int attempts = 3;
    int crashes = 1;
    int ticks = 4;
    // Appends of a last word that the log loses track of, over all attempts.
    int lostReplies = 2;
    bool hasForgetting = true;
    // The log may say that it took nothing.
    bool hasRefusals = true;
    ClaimRules rules;
    // Instances take a tombstone for a no-op, as a reducer without them would.
    bool ignoresTombstones = false;
    std::size_t stateLimit = 20'000'000;
};

struct ExplorerResult {
    std::size_t states = 0;
    // How often a run took place after an earlier attempt had been told "not run".
    std::size_t runsAfterNotRun = 0;
    // The first broken rule with the steps that led to it.
    std::optional<std::string> violation;
    bool isComplete = false;
};

ExplorerResult explore(const ExplorerScope& scope);

} // namespace plantainhold
