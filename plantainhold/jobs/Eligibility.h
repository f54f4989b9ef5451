// Checks whether an executor may run a task at all, apart from free capacity.
#pragma once

#include "plantainhold/jobs/PlacementObstacle.h"
#include "plantainhold/ports/Clock.h"

#include <cstdint>
#include <span>
#include <string_view>

namespace plantainhold {

struct ActiveExecutor;
struct ActiveStep;

// All functions are thread-safe as long as their arguments are not modified. Every executor has the
// empty label.
bool hasLabel(const ActiveExecutor& executor, std::string_view label);
std::uint32_t tasksOn(const ActiveExecutor& executor, const ActiveStep& step);
// True if an executor that is listed, in a data centre that is not evacuated, has the service, the label and, when
// empty, the capacity for a task of the step. Whether it accepts work now does not count.
bool canRunSomewhere(const ActiveStep& step, std::span<ActiveExecutor* const> executors);
// Returns why the executor accepts no work; None if it does.
PlacementObstacle workObstacle(const ActiveExecutor& executor, TimePoint now);
// Returns None if the executor accepts work, serves the queue, was approved by advice if the queue requires
// it, has the required label, and runs fewer of the step's tasks than the limit per executor.
PlacementObstacle eligibilityObstacle(const ActiveExecutor& executor, const ActiveStep& step, TimePoint now);
bool isEligible(const ActiveExecutor& executor, const ActiveStep& step, TimePoint now);

} // namespace plantainhold
