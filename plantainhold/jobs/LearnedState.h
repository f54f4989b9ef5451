// Estimates about images and queues that an owner hands over to the next one. Without them, each
// new owner would pace and place tasks by initial estimates for its first seconds.
#pragma once

#include "plantainhold/policy/Estimate.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace plantainhold {

struct LearnedEffect {
    std::string latencyCritical;
    std::string bestEffort;
    Estimate effect;
};

struct LearnedSlowdown {
    std::string queue;
    double slowdown = 1;
};

struct LearnedState {
    std::vector<LearnedEffect> effects;
    std::vector<LearnedSlowdown> slowdowns;
};

// Leaves out what would make the record larger than `maxBytes`: the least certain effects first, which are learned
// anew. Both functions are thread-safe. decodeLearned() returns std::nullopt for a malformed record.
std::string encodeLearned(const LearnedState& state, std::size_t maxBytes);
std::optional<LearnedState> decodeLearned(std::string_view bytes);

} // namespace plantainhold
