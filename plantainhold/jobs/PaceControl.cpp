#include "plantainhold/jobs/PaceControl.h"

#include "plantainhold/jobs/ActiveExecutor.h"
#include "plantainhold/jobs/ActiveJob.h"

#include <algorithm>

namespace plantainhold {

namespace {

    // Parts of the target.
    constexpr double s_far = 1.5;
    constexpr double s_over = 1.0;
    constexpr double s_near = 0.85;
    constexpr double s_well = 0.6;
    // Steps of the pace, in percent.
    constexpr std::uint32_t s_full = 100;
    constexpr std::uint32_t s_raise = 20;
    constexpr std::uint32_t s_least = 8;
    // Figures cover the last half second, so that a change shows after that.
    constexpr Milliseconds s_lowerAfter { 500 };
    constexpr Milliseconds s_raiseAfter { 700 };

    double worstRatio(const ActiveExecutor& executor)
    {
        double worst = 0;
        for (const ActiveRun* it : executor.runs) {
            const StepSpec& spec = *it->task->step->spec;
            if (spec.servesUsers() && it->phase == RunPhase::Running)
                worst = std::max(worst, it->figure / spec.targetTailMs);
        }
        return worst;
    }

    double lowered(double ratio)
    {
        if (ratio > s_far)
            return 0.25;
        return ratio > s_over ? 0.5 : 0.8;
    }

} // namespace

void PaceControl::steer(ActiveExecutor& executor, TimePoint now) const
{
    executor.worstTailRatio = worstRatio(executor);
    if (!executor.servingRuns) {
        executor.fillPace = s_full;
        return;
    }
    auto since = now - executor.fillPaceChangedAt;
    double ratio = executor.worstTailRatio;
    if (ratio > s_near && since >= s_lowerAfter && executor.fillPace > 0 && executor.fillingRuns) {
        auto pace = static_cast<std::uint32_t>(executor.fillPace * lowered(ratio));
        executor.fillPace = pace < s_least ? 0 : pace;
        executor.fillPaceChangedAt = now;
    } else if (ratio < s_well && since >= s_raiseAfter && executor.fillPace < s_full) {
        executor.fillPace = std::min(s_full, executor.fillPace + s_raise);
        executor.fillPaceChangedAt = now;
    }
}

} // namespace plantainhold
