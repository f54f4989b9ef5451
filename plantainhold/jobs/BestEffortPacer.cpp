#include "plantainhold/jobs/BestEffortPacer.h"

#include "plantainhold/jobs/ActiveExecutor.h"
#include "plantainhold/jobs/ActiveJob.h"

#include <algorithm>
#include <cmath>

namespace plantainhold {

namespace {

    constexpr std::uint32_t s_fullPace = 100;
    constexpr double s_milli = 1'000;
    // Minimum headroom (target / tail) that best-effort tasks must leave to a latency-critical one.
    constexpr double s_minHeadroom = 1.15;
    // A miss ends only when the tail falls below this fraction of the target.
    constexpr double s_recoveredRatio = 0.8;
    // A reported tail is that of the last half second; its middle counts.
    constexpr Milliseconds s_measurementAge { 250 };
    // From the choice of a pace until it takes effect, and until the next choice.
    constexpr Milliseconds s_paceDelay { 150 };
    constexpr Milliseconds s_paceLifetime { 300 };
    // Effects per core below this are treated as zero.
    constexpr double s_negligibleEffect = 0.06;
    // Minimum changes of the pace, in percent: a smaller change is not worth a call.
    constexpr std::uint32_t s_minDecrease = 5;
    constexpr std::uint32_t s_minIncrease = 8;
    constexpr Milliseconds s_increaseInterval { 250 };
    // When a miss has lasted this fraction of the interference limit, the pace of all suspects is
    // limited to this percentage.
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

    // Returns the headroom that the task can be counted on to have without neighbours, until a pace
    // chosen now can be corrected by the next one.
    double expectedHeadroom(const ActiveRun& latencyCritical, TimePoint now)
    {
        const HeadroomTrend& trend = latencyCritical.task->step->headroom;
        return std::min(trend.lowerBoundAt(now + s_paceDelay), trend.lowerBoundAt(now + s_paceDelay + s_paceLifetime));
    }

    double effectOf(const InterferenceTable& table, std::uint32_t latencyCritical, std::uint32_t bestEffort)
    {
        double effect = table.effect(latencyCritical, bestEffort).mean;
        return effect < s_negligibleEffect ? 0 : effect;
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
    executor.worstTailRatio = 0;
    for (ActiveRun* it : executor.runs) {
        if (!isMeasuredLatencyCritical(*it))
            continue;
        double ratio = it->measurement / it->task->step->spec->targetTailMs;
        // Measurements are noisy: one just below the target does not end a miss.
        if (ratio <= s_recoveredRatio)
            it->missedSince = TimePoint::max();
        else if (ratio > 1 && it->missedSince == TimePoint::max())
            it->missedSince = std::max(executor.pacesUpdatedAt, it->assignedAt);
        executor.worstTailRatio = std::max(executor.worstTailRatio, ratio);
        if (it->percent >= s_fullPace)
            m_table.learn(it->image, it->task->step->headroom, { it->measurement, it->task->step->spec->targetTailMs, now - s_measurementAge }, neighbours);
    }
}

std::uint32_t BestEffortPacer::paceLimit(const ActiveRun& latencyCritical, TimePoint now) const
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

std::uint32_t BestEffortPacer::lowestPaceLimit(const ActiveExecutor& executor) const
{
    // Nobody misses a target there, as on most executors.
    if (executor.worstTailRatio <= s_recoveredRatio)
        return s_fullPace;
    std::uint32_t lowest = s_fullPace;
    for (const ActiveRun* it : executor.runs) {
        if (it->task->step->spec->isLatencyCritical())
            lowest = std::min(lowest, paceLimit(*it, executor.pacesUpdatedAt));
    }
    return lowest;
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
        // Runs with the largest effect per core are slowed down first.
        auto effect = [&](const ActiveRun* it) { return effectOf(m_table, latencyCritical->image, it->image); };
        std::sort(bestEffort.begin(), bestEffort.end(), [&](const ActiveRun* a, const ActiveRun* b) { return effect(a) > effect(b); });
        double excess = s_minHeadroom - expectedHeadroom(*latencyCritical, now);
        for (const ActiveRun* it : bestEffort)
            excess += effect(it) * coresOf(*it->task->step->spec) * it->targetPace / s_fullPace;
        std::uint32_t maxPace = paceLimit(*latencyCritical, now);
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
        double deficit = s_minHeadroom - expectedHeadroom(*latencyCritical, executor.pacesUpdatedAt);
        if (found == executor.headroomDeficits.end())
            executor.headroomDeficits.push_back({ latencyCritical->image, deficit });
        else
            found->deficit = std::max(found->deficit, deficit);
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

BestEffortPacer::Load BestEffortPacer::loadOf(const StepSpec& spec)
{
    return { m_table.idOf(spec.image), coresOf(spec) };
}

BestEffortPacer::Pressure BestEffortPacer::pressureOn(ActiveExecutor& executor, const Load& load)
{
    if (executor.areDeficitsStale)
        refreshDeficits(executor);
    Pressure pressure;
    if (executor.headroomDeficits.empty())
        return pressure;
    // Whatever the table says: a task there would be slowed down like those that are there.
    pressure.excess = 1 - lowestPaceLimit(executor) / static_cast<double>(s_fullPace);
    for (const ActiveExecutor::HeadroomDeficit& it : executor.headroomDeficits) {
        double taken = effectOf(m_table, it.image, load.image) * load.cores;
        pressure.largest = std::max(pressure.largest, taken);
        pressure.excess = std::max(pressure.excess, std::min(it.deficit + taken, taken));
    }
    return pressure;
}

} // namespace plantainhold
