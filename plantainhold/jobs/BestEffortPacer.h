// Chooses the pace of best-effort tasks that share an executor with latency-critical tasks. The
// learned effects tell which images slow down which: only those best-effort tasks are throttled,
// and only as far as needed for each latency-critical task to meet its predicted target. If a
// target is missed nevertheless, all best-effort tasks on the executor are throttled step by step
// until the interference limit is reached.
#pragma once

#include "plantainhold/jobs/InterferenceTable.h"
#include "plantainhold/jobs/SchedulerLimits.h"
#include "plantainhold/ports/Clock.h"

#include <span>
#include <vector>

namespace plantainhold {

struct ActiveExecutor;
struct ActiveRun;
struct StepSpec;

class BestEffortPacer {
public:
    explicit BestEffortPacer(const SchedulerLimits& limits)
        : m_limits(limits)
    {
    }

    // Learns from the newest measurements of the executor's runs and sets the target pace of each
    // best-effort run. Call once per report. No method of this class is thread-safe.
    void updatePaces(ActiveExecutor& executor, TimePoint now);
    // Predicted effect of a best-effort task on the latency-critical tasks of an executor, in units
    // of headroom.
    struct Pressure {
        // Headroom taken from the image that is affected most.
        double largest = 0;
        // The part of it that exceeds what an image can spare now; 0 if all can bear the task at full pace.
        double excess = 0;
    };
    // What a best-effort task puts on its neighbours, looked up once for many executors.
    struct Load {
        InterferenceTable::ImageId image = 0;
        double cores = 0;
    };
    Load loadOf(const StepSpec& spec);
    Pressure pressureOn(ActiveExecutor& executor, const Load& load);
    std::vector<LearnedEffect> learned() const { return m_table.learned(); }
    void restore(std::span<const LearnedEffect> effects) { m_table.restore(effects); }
    // Returns the pressure of a task on latency-critical tasks, averaged over the images seen so
    // far, in units of headroom.
    double meanPressure(const StepSpec& spec);

private:
    void learn(ActiveExecutor& executor, TimePoint now);
    void refreshDeficits(ActiveExecutor& executor);
    void choosePaces(ActiveExecutor& executor, TimePoint now);
    // Returns the maximum pace in percent, given how long the latency-critical task has missed its target.
    std::uint32_t paceLimit(const ActiveRun& latencyCritical, TimePoint now) const;
    // Returns the lowest of these limits among the executor's runs, as of its newest report.
    std::uint32_t lowestPaceLimit(const ActiveExecutor& executor) const;

    const SchedulerLimits& m_limits;
    InterferenceTable m_table;
    // Images of the latency-critical tasks seen so far.
    std::vector<InterferenceTable::ImageId> m_latencyCriticalImages;
};

} // namespace plantainhold
