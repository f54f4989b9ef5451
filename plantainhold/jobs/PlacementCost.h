// The terms of the cost by which placement ranks executors. The pressure that a best-effort task would put on
// latency-critical ones is added by the scheduler, which knows the pacer. Pure functions without state.
#pragma once

#include "plantainhold/ports/Resources.h"

namespace plantainhold {

struct ActiveExecutor;
struct ActiveTask;
struct StepSpec;

// Load up to which best-effort tasks are placed on an executor.
inline constexpr double s_bestEffortLoadLimit = 1.0;

// Returns the fraction of the CPU capacity that would be in demand if the best-effort task joined. Latency-critical
// tasks leave much of their reservation unused. Thread-safe while the arguments do not change, like costWithoutPressure().
double bestEffortLoad(const ActiveExecutor& executor, const StepSpec& spec);
// Returns the millicores that best-effort tasks may add until that limit; negative above it. Thread-safe as the others.
std::int64_t bestEffortRoom(const ActiveExecutor& executor);
// Returns what speaks against the executor, in an arbitrary unit; lower is better. `freeCapacity` is what the task finds
// there, `pressure` the mean pressure that it puts on latency-critical tasks, in units of headroom. Precondition: the
// task may run there.
double costWithoutPressure(const ActiveExecutor& executor, const ActiveTask& task, const Resources& freeCapacity, double pressure);

} // namespace plantainhold
