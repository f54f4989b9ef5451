#include "plantainhold/jobs/BestEffortPacer.h"

#include "plantainhold/jobs/ActiveExecutor.h"
#include "plantainhold/jobs/ActiveJob.h"

#include <algorithm>
#include <cmath>

namespace plantainhold {

namespace {

    constexpr std::uint32_t s_fullPace = 100;
    constexpr double s_milli = 1'000;
    // Least headroom (target / tail) that filling tasks leave to a serving one.
    constexpr double s_minHeadroom = 1.4;
    // A serving task is over a miss below this part of its target.
    constexpr double s_recoveredRatio = 0.8;
    // Standard deviations of caution on each effect.
    constexpr double s_caution = 0.5;
    // Less than this a core is taken for no effect at all.
    constexpr double s_negligibleEffect = 0.06;
    // A change of the pace must be worth a call.
    constexpr std::uint32_t s_minDecrease = 5;
    constexpr std::uint32_t s_minIncrease = 12;
    constexpr Milliseconds s_increaseInterval { 500 };
    // Parts of the interference limit after which the pace of all suspects is cut.
    struct Cut {
        double part;
        std::uint32_t percent;
    };
    constexpr Cut s_cuts[] = { { 0.55, 0 }, { 0.35, 20 }, { 0.2, 50 } };

    double coresOf(const StepSpec& spec)
    {
        return static_cast<double>(spec.resources.millicores) / s_milli;
    }

    bool isMeasuredLatencyCritical(const ActiveRun& run)
    {
        return run.phase == RunPhase::Running && run.task->step->spec->isLatencyCritical() && run.measurement > 0;
    }

    bool isRunningBestEffort(const ActiveRun& run)
    {
        return run.phase == RunPhase::Running && run.task->step->spec->isBestEffort();
    }

    double effectOf(const InterferenceTable& table, std::uint32_t latencyCritical, std::uint32_t bestEffort)
    {
        double bound = table.effect(latencyCritical, bestEffort).upperBound(s_caution);
        return bound < s_negligibleEffect ? 0 : bound;
    }

} // namespace

void BestEffortPacer::updatePaces(ActiveExecutor& executor, TimePoint now)
{
    learn(executor, now);
    executor.pacesUpdatedAt = now;
    executor.areDeficitsStale = true;
    choosePaces(executor, now);
}

void BestEffortPacer::learn(ActiveExecutor& executor, TimePoint now)
{
    std::vector<InterferenceTable::Neighbour> neighbours;
    for (ActiveRun* it : executor.runs) {
        const StepSpec& spec = *it->task->step->spec;
        if (it->image == ActiveRun::s_noImage)
            it->image = m_table.idOf(spec.image);
        if (spec.isLatencyCritical() && std::find(m_latencyCriticalImages.begin(), m_latencyCriticalImages.end(), it->image) == m_latencyCriticalImages.end())
            m_latencyCriticalImages.push_back(it->image);
        if (isRunningBestEffort(*it))
            neighbours.push_back({ it->image, it->measurement / s_milli });
    }
    std::chrono::duration<double> elapsed = executor.pacesUpdatedAt == TimePoint {} ? Duration(0) : now - executor.pacesUpdatedAt;
    executor.worstTailRatio = 0;
    for (ActiveRun* it : executor.runs) {
        if (!isMeasuredLatencyCritical(*it))
            continue;
        double ratio = it->measurement / it->task->step->spec->targetTailMs;
        // Readings are rough: one just below the target does not end a miss.
        if (ratio <= s_recoveredRatio)
            it->missedSince = TimePoint::max();
        else if (ratio > 1 && it->missedSince == TimePoint::max())
            it->missedSince = std::max(executor.pacesUpdatedAt, it->assignedAt);
        executor.worstTailRatio = std::max(executor.worstTailRatio, ratio);
        if (it->percent >= s_fullPace)
            m_table.learn(it->image, it->ownHeadroom, { it->measurement, it->task->step->spec->targetTailMs, elapsed }, neighbours);
    }
}

std::uint32_t BestEffortPacer::ceiling(const ActiveRun& latencyCritical, TimePoint now) const
{
    if (latencyCritical.missedSince == TimePoint::max())
        return s_fullPace;
    auto missed = std::chrono::duration<double>(now - latencyCritical.missedSince);
    auto limit = std::chrono::duration<double>(m_limits.interferenceLimit);
    for (const Cut& it : s_cuts) {
        if (missed >= it.part * limit)
            return it.percent;
    }
    return s_fullPace;
}

void BestEffortPacer::choosePaces(ActiveExecutor& executor, TimePoint now)
{
    std::vector<ActiveRun*> bestEffort;
    for (ActiveRun* it : executor.runs) {
        if (!isRunningBestEffort(*it))
            continue;
        it->targetPace = s_fullPace;
        bestEffort.push_back(it);
    }
    for (const ActiveRun* latencyCritical : executor.runs) {
        if (!isMeasuredLatencyCritical(*latencyCritical))
            continue;
        // Those that press hardest a core are slowed down first.
        auto effect = [&](const ActiveRun* it) { return effectOf(m_table, latencyCritical->image, it->image); };
        std::sort(bestEffort.begin(), bestEffort.end(), [&](const ActiveRun* a, const ActiveRun* b) { return effect(a) > effect(b); });
        double excess = s_minHeadroom - latencyCritical->ownHeadroom.mean;
        for (const ActiveRun* it : bestEffort)
            excess += effect(it) * coresOf(*it->task->step->spec) * it->targetPace / s_fullPace;
        std::uint32_t maxPace = ceiling(*latencyCritical, now);
        for (ActiveRun* it : bestEffort) {
            double pressure = effect(it) * coresOf(*it->task->step->spec);
            if (pressure <= 0 && maxPace > 0)
                break;
            double share = it->targetPace / static_cast<double>(s_fullPace);
            if (excess > 0 && pressure > 0) {
                double cut = std::min(share, excess / pressure);
                excess -= cut * pressure;
                share -= cut;
            }
            it->targetPace = std::min(static_cast<std::uint32_t>(share * s_fullPace), maxPace);
        }
    }
    for (ActiveRun* it : bestEffort) {
        if (it->sentPace == ActiveRun::s_unknownPace)
            continue;
        std::uint32_t current = it->sentPace;
        bool isLower = it->targetPace + s_minDecrease <= current || (it->targetPace == 0 && current > 0);
        bool isHigher = it->targetPace >= current + s_minIncrease || (it->targetPace == s_fullPace && current < s_fullPace);
        bool isSettled = now - it->pacedAt >= s_increaseInterval;
        if (!isLower && !(isHigher && isSettled))
            it->targetPace = current;
    }
}

double BestEffortPacer::meanPressure(const StepSpec& spec)
{
    if (m_latencyCriticalImages.empty())
        return 0;
    InterferenceTable::ImageId image = m_table.idOf(spec.image);
    double sum = 0;
    for (InterferenceTable::ImageId it : m_latencyCriticalImages)
        sum += effectOf(m_table, it, image) * coresOf(spec);
    return sum / static_cast<double>(m_latencyCriticalImages.size());
}

void BestEffortPacer::refreshDeficits(ActiveExecutor& executor)
{
    executor.areDeficitsStale = false;
    executor.headroomDeficits.clear();
    for (const ActiveRun* latencyCritical : executor.runs) {
        if (!latencyCritical->task->step->spec->isLatencyCritical() || latencyCritical->image == ActiveRun::s_noImage)
            continue;
        auto hasSameImage = [&](const ActiveExecutor::HeadroomDeficit& it) { return it.image == latencyCritical->image; };
        auto found = std::find_if(executor.headroomDeficits.begin(), executor.headroomDeficits.end(), hasSameImage);
        if (found == executor.headroomDeficits.end())
            executor.headroomDeficits.push_back({ latencyCritical->image, s_minHeadroom - latencyCritical->ownHeadroom.mean });
        else
            found->deficit = std::max(found->deficit, s_minHeadroom - latencyCritical->ownHeadroom.mean);
    }
    for (const ActiveRun* it : executor.runs) {
        const StepSpec& spec = *it->task->step->spec;
        if (!spec.isBestEffort())
            continue;
        InterferenceTable::ImageId image = it->image == ActiveRun::s_noImage ? m_table.idOf(spec.image) : it->image;
        for (ActiveExecutor::HeadroomDeficit& entry : executor.headroomDeficits)
            entry.deficit += effectOf(m_table, entry.image, image) * coresOf(spec);
    }
}

BestEffortPacer::Pressure BestEffortPacer::pressureOn(ActiveExecutor& executor, const StepSpec& spec)
{
    if (executor.areDeficitsStale)
        refreshDeficits(executor);
    Pressure pressure;
    if (executor.headroomDeficits.empty())
        return pressure;
    InterferenceTable::ImageId image = m_table.idOf(spec.image);
    double cores = coresOf(spec);
    for (const ActiveExecutor::HeadroomDeficit& it : executor.headroomDeficits) {
        double taken = effectOf(m_table, it.image, image) * cores;
        pressure.largest = std::max(pressure.largest, taken);
        pressure.excess = std::max(pressure.excess, std::min(it.deficit + taken, taken));
    }
    return pressure;
}

} // namespace plantainhold
