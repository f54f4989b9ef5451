// Whether an executor may run a task at all, apart from room.
#pragma once

#include "plantainhold/ports/Clock.h"

#include <cstdint>
#include <string_view>

namespace plantainhold {

struct ActiveExecutor;
struct ActiveStep;

// All are thread-safe for what they refer to. An empty label is had by every executor.
bool hasLabel(const ActiveExecutor& executor, std::string_view label);
std::uint32_t tasksOn(const ActiveExecutor& executor, const ActiveStep& step);
// It takes work, serves the queue, was approved where that is needed, has the
// label, and has not yet as many of the step's tasks as it may have.
bool isEligible(const ActiveExecutor& executor, const ActiveStep& step, TimePoint now);

} // namespace plantainhold
