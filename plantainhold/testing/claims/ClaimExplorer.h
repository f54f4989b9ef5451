// A model checker for the claim protocol. It explores every interleaving of a small
// world with one key: two instances with their own read positions, appends that
// reach the log late or never or whose result is lost, pauses, a crash, a request
// that could not be dispatched, the passage of time, and forgetting. It uses the
// production ClaimReducer and ClaimLifecycle, and compares which requests ran with
// what was reported to the callers.
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
    // Limit on appends whose result is lost, over all attempts.
    int lostReplies = 2;
    bool hasForgetting = true;
    // Whether the log may refuse an append.
    bool hasRefusals = true;
    ClaimRules rules;
    // Whether instances ignore tombstones, like a reducer without them.
    bool ignoresTombstones = false;
    std::size_t stateLimit = 20'000'000;
};

struct ExplorerResult {
    std::size_t states = 0;
    // How often a request ran although another attempt had been reported as "not
    // run". It shows that such repeats are not blocked.
    std::size_t runsAfterNotRun = 0;
    // The first violated rule, with the steps that led to it.
    std::optional<std::string> violation;
    bool isComplete = false;
};

ExplorerResult explore(const ExplorerScope& scope);

} // namespace plantainhold
