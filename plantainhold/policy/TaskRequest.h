// What the policy knows about a task before it runs.
#pragma once

#include "plantainhold/config/ConfigDocument.h"
#include "plantainhold/ports/Clock.h"
#include "plantainhold/ports/Resources.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace plantainhold {

struct TaskRequest {
    std::string task;
    std::string team;
    // Tasks of the same kind are assumed to behave alike; see taskKind().
    std::string kind;
    Priority priority = Priority::Normal;
    // The demand that the team declared. It serves as a prior until use has been observed.
    Resources declared;
    // The declared run time; zero if the team declared none.
    Milliseconds expected { 0 };
    bool isService = false;
    bool isUrgent = false;
    // Services only: whether the policy protects this task from its neighbours.
    bool hasGuards = true;
    // Services only: the largest slowdown factor that still meets the objective, in thousandths.
    std::uint32_t slowdownLimitMilli = 1500;
    // Percentage of the work that a durable checkpoint covers.
    std::uint32_t checkpoint = 0;
};

// Returns the kind of a task: its profile and the first word of its command. Runs of one
// program with different arguments thus share their statistics. Thread-safe.
std::string taskKind(std::string_view profile, std::string_view command);

} // namespace plantainhold
