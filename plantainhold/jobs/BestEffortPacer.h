// Chooses how fast the filling tasks beside serving ones work on one executor. The
// learned effects say which of them press on whom: only those are slowed down, and
// just so far that each serving task is predicted to keep its target. Where the
// prediction fails and a target is missed all the same, everything that may be the
// cause is slowed down step by step until the limit.
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

    // Learns from the newest figures of the executor's runs and sets each filling
    // run's wanted pace. Call once a report. Not thread-safe, as the whole class.
    void updatePaces(ActiveExecutor& executor, TimePoint now);
    // How a filling task would press on the serving tasks of an executor, in headroom.
    struct Pressure {
        // What it takes of the one that it presses on most.
        double largest = 0;
        // The part of it that one of them cannot bear now; 0 when all can bear it at full pace.
        double excess = 0;
    };
    Pressure pressureOn(ActiveExecutor& executor, const StepSpec& spec);
    std::vector<LearnedEffect> learned() const { return m_table.learned(); }
    void restore(std::span<const LearnedEffect> effects) { m_table.restore(effects); }
    // What a task adds to serving tasks of the known images on average, in headroom.
    double meanPressure(const StepSpec& spec);

private:
    void learn(ActiveExecutor& executor, TimePoint now);
    void refreshDeficits(ActiveExecutor& executor);
    void choosePaces(ActiveExecutor& executor, TimePoint now);
    // The largest pace that the serving task's own misses allow, in percent.
    std::uint32_t ceiling(const ActiveRun& latencyCritical, TimePoint now) const;

    const SchedulerLimits& m_limits;
    InterferenceTable m_table;
    // Images of the serving tasks that were seen.
    std::vector<InterferenceTable::ImageId> m_latencyCriticalImages;
};

} // namespace plantainhold
