// What an owner has learned of images and queues, and hands on: without it each
// next owner would slow down, and place, by guesses for its first seconds.
#pragma once

#include "plantainhold/policy/Estimate.h"

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

// Both are thread-safe; decoding gives nothing for bytes that are no such record.
std::string encodeLearned(const LearnedState& state);
std::optional<LearnedState> decodeLearned(std::string_view bytes);

} // namespace plantainhold
