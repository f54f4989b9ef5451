// What the policy knows of one task before it runs.
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
    // Tasks of one kind are taken to behave alike; see taskKind().
    std::string kind;
    Priority priority = Priority::Normal;
    // As the team declared it: a prior, not a fact.
    Resources declared;
    // Zero when the team declared no run time.
    Milliseconds expected { 0 };
    bool isService = false;
    bool isUrgent = false;
    // Services only: whether the policy protects this task from its neighbours.
    bool hasGuards = true;
    // Services only: the largest slowdown that still meets the objective, in thousandths.
    std::uint32_t slowdownLimitMilli = 1500;
    // Percent of the work that a durable checkpoint covers.
    std::uint32_t checkpoint = 0;
};

// The kind of a task: its profile and the first word of its command, so that
// runs of one program under different arguments are learned from together. Thread-safe.
std::string taskKind(std::string_view profile, std::string_view command);

} // namespace plantainhold
