// The terms of the cost by which placement ranks executors. The pressure that a best-effort task would put on
// latency-critical ones is added by the scheduler, which knows the pacer. Pure functions without state.
#pragma once

#include "plantainhold/ports/Resources.h"

namespace plantainhold {

struct ActiveExecutor;
struct ActiveTask;
struct StepSpec;

// Returns the fraction of the CPU capacity that would be in demand if the best-effort task joined. Latency-critical
// tasks leave much of their reservation unused. Thread-safe while the arguments do not change, like costWithoutPressure().
double bestEffortLoad(const ActiveExecutor& executor, const StepSpec& spec);
// Returns what speaks against the executor, in an arbitrary unit; lower is better. `freeCapacity` is what the task finds
// there, `pressure` the mean pressure that it puts on latency-critical tasks, in units of headroom. Precondition: the
// task may run there.
double costWithoutPressure(const ActiveExecutor& executor, const ActiveTask& task, const Resources& freeCapacity, double pressure);

} // namespace plantainhold
