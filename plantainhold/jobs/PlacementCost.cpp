#include "plantainhold/jobs/PlacementCost.h"

#include "plantainhold/jobs/ActiveExecutor.h"
#include "plantainhold/jobs/ActiveJob.h"
#include "plantainhold/jobs/Eligibility.h"

#include <algorithm>

namespace plantainhold {

namespace {

    // Weights of the placement cost, in one arbitrary unit; lower sums are better.
    constexpr double s_remoteDataCost = 1'000;
    constexpr double s_avoidedExecutorCost = 500;
    constexpr double s_otherRackCost = 200;
    // Outweighs the data's rack: a gang on two racks is as slow as one away from its data.
    constexpr double s_outsideRackCost = 2'000;
    // Cost of each run that a suspect would take down with the executor.
    constexpr double s_companyCost = 400;
    constexpr double s_sameStepCost = 30;
    constexpr double s_freeCapacityWeight = 10;
    constexpr double s_otherImageCost = 40;
    // Cost of placing a task that causes no pressure on an executor without latency-critical tasks.
    constexpr double s_unpressuredTask = 50;
    // Pressure that counts as heavy, in units of headroom.
    constexpr double s_heavyPressure = 0.6;
    constexpr double s_slowWeight = 150;
    // Logarithm of an executor's slowdown up to which it is ignored.
    constexpr double s_slowIgnored = 0.35;
    // Fraction of its reservation that a latency-critical task is assumed to use.
    constexpr double s_latencyCriticalUse = 0.45;
    constexpr double s_bestEffortLoadWeight = 100;

} // namespace

double bestEffortLoad(const ActiveExecutor& executor, const StepSpec& spec)
{
    double busy = static_cast<double>(executor.reserved.millicores) - (1 - s_latencyCriticalUse) * static_cast<double>(executor.latencyCriticalMillicores);
    double bestEffort = static_cast<double>(executor.bestEffortMillicores + spec.resources.millicores);
    return (busy + bestEffort) / static_cast<double>(std::max<std::int64_t>(1, executor.entry.capacity.millicores));
}

std::int64_t bestEffortRoom(const ActiveExecutor& executor)
{
    static const StepSpec s_nothing;
    return static_cast<std::int64_t>((s_bestEffortLoadLimit - bestEffortLoad(executor, s_nothing)) * static_cast<double>(executor.entry.capacity.millicores));
}

double costWithoutPressure(const ActiveExecutor& executor, const ActiveTask& task, const Resources& freeCapacity, double pressure)
{
    const StepSpec& spec = *task.step->spec;
    double sum = 0;
    if (!spec.dataRack.empty() && spec.dataRack != executor.rack)
        sum += s_remoteDataCost;
    if (task.avoided == &executor)
        sum += s_avoidedExecutorCost;
    if (task.crashes.isSuspect())
        sum += s_companyCost * static_cast<double>(executor.runs.size());
    if (!spec.isLongRunning)
        sum += s_slowWeight * std::max(0.0, executor.slowness - s_slowIgnored);
    if (!task.step->preferredRack.empty() && executor.rack != task.step->preferredRack)
        sum += s_outsideRackCost;
    if (spec.prefersOneRack) {
        for (const ActiveTask& it : task.step->tasks.open()) {
            if (it.run && it.run->executor->rack != executor.rack) {
                sum += s_otherRackCost;
                break;
            }
        }
    }
    double left = static_cast<double>(freeCapacity.millicores - spec.reserved().millicores) / static_cast<double>(std::max<std::int64_t>(1, executor.entry.capacity.millicores));
    if (spec.isLongRunning) {
        // Latency-critical tasks of one image are kept together, so that what slows them down
        // can run on other executors.
        for (const ActiveRun* it : executor.runs)
            sum += it->task->step->spec->isLatencyCritical() && it->task->step->spec->image != spec.image ? s_otherImageCost : 0;
        return sum + s_sameStepCost * tasksOn(executor, *task.step) + s_freeCapacityWeight * left;
    }
    // Executors without latency-critical tasks are left to best-effort tasks that would slow
    // such tasks down.
    if (spec.isBestEffort() && !executor.latencyCriticalRuns)
        sum += s_unpressuredTask * std::max(0.0, 1 - pressure / s_heavyPressure);
    if (spec.isBestEffort())
        return sum + s_bestEffortLoadWeight * bestEffortLoad(executor, spec);
    return sum + s_freeCapacityWeight * left;
}

} // namespace plantainhold
