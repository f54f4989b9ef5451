#include "plantainhold/jobs/FillPacer.h"

#include "plantainhold/jobs/ActiveExecutor.h"
#include "plantainhold/jobs/ActiveJob.h"

#include <algorithm>
#include <cmath>

namespace plantainhold {

namespace {

    constexpr std::uint32_t s_full = 100;
    constexpr double s_milli = 1'000;
    // Least headroom (target / tail) that filling tasks leave to a serving one.
    constexpr double s_leastHeadroom = 1.4;
    // A serving task is over a miss below this part of its target.
    constexpr double s_recovered = 0.8;
    // Standard deviations of caution on each effect.
    constexpr double s_caution = 0.5;
    // Less than this a core is taken for no effect at all.
    constexpr double s_noEffect = 0.06;
    // A change of the pace must be worth a call.
    constexpr std::uint32_t s_lowerStep = 5;
    constexpr std::uint32_t s_raiseStep = 12;
    constexpr Milliseconds s_raiseAfter { 500 };
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

    bool isServing(const ActiveRun& run)
    {
        return run.phase == RunPhase::Running && run.task->step->spec->servesUsers() && run.figure > 0;
    }

    bool isFilling(const ActiveRun& run)
    {
        return run.phase == RunPhase::Running && run.task->step->spec->fills();
    }

    double effectOf(const InterferenceTable& table, std::uint32_t serving, std::uint32_t filling)
    {
        double bound = table.effect(serving, filling).upperBound(s_caution);
        return bound < s_noEffect ? 0 : bound;
    }

} // namespace

void FillPacer::steer(ActiveExecutor& executor, TimePoint now)
{
    learn(executor, now);
    executor.steeredAt = now;
    executor.areLoadsStale = true;
    choosePaces(executor, now);
}

void FillPacer::learn(ActiveExecutor& executor, TimePoint now)
{
    std::vector<InterferenceTable::Neighbour> neighbours;
    for (ActiveRun* it : executor.runs) {
        const StepSpec& spec = *it->task->step->spec;
        if (it->image == ActiveRun::s_noImage)
            it->image = m_table.idOf(spec.image);
        if (spec.servesUsers() && std::find(m_servingImages.begin(), m_servingImages.end(), it->image) == m_servingImages.end())
            m_servingImages.push_back(it->image);
        if (isFilling(*it))
            neighbours.push_back({ it->image, it->figure / s_milli });
    }
    std::chrono::duration<double> elapsed = executor.steeredAt == TimePoint {} ? Duration(0) : now - executor.steeredAt;
    executor.worstTailRatio = 0;
    for (ActiveRun* it : executor.runs) {
        if (!isServing(*it))
            continue;
        double ratio = it->figure / it->task->step->spec->targetTailMs;
        // Readings are rough: one just below the target does not end a miss.
        if (ratio <= s_recovered)
            it->overSince = TimePoint::max();
        else if (ratio > 1 && it->overSince == TimePoint::max())
            it->overSince = std::max(executor.steeredAt, it->assignedAt);
        executor.worstTailRatio = std::max(executor.worstTailRatio, ratio);
        if (it->percent >= s_full)
            m_table.learn(it->image, it->own, { it->figure, it->task->step->spec->targetTailMs, elapsed }, neighbours);
    }
}

std::uint32_t FillPacer::ceiling(const ActiveRun& serving, TimePoint now) const
{
    if (serving.overSince == TimePoint::max())
        return s_full;
    auto over = std::chrono::duration<double>(now - serving.overSince);
    auto limit = std::chrono::duration<double>(m_limits.interferenceLimit);
    for (const Cut& it : s_cuts) {
        if (over >= it.part * limit)
            return it.percent;
    }
    return s_full;
}

void FillPacer::choosePaces(ActiveExecutor& executor, TimePoint now)
{
    std::vector<ActiveRun*> filling;
    for (ActiveRun* it : executor.runs) {
        if (!isFilling(*it))
            continue;
        it->wantedPace = s_full;
        filling.push_back(it);
    }
    for (const ActiveRun* serving : executor.runs) {
        if (!isServing(*serving))
            continue;
        // Those that press hardest a core are slowed down first.
        auto effect = [&](const ActiveRun* it) { return effectOf(m_table, serving->image, it->image); };
        std::sort(filling.begin(), filling.end(), [&](const ActiveRun* a, const ActiveRun* b) { return effect(a) > effect(b); });
        double excess = s_leastHeadroom - serving->own.mean;
        for (const ActiveRun* it : filling)
            excess += effect(it) * coresOf(*it->task->step->spec) * it->wantedPace / s_full;
        std::uint32_t most = ceiling(*serving, now);
        for (ActiveRun* it : filling) {
            double press = effect(it) * coresOf(*it->task->step->spec);
            if (press <= 0 && most > 0)
                break;
            double share = it->wantedPace / static_cast<double>(s_full);
            if (excess > 0 && press > 0) {
                double cut = std::min(share, excess / press);
                excess -= cut * press;
                share -= cut;
            }
            it->wantedPace = std::min(static_cast<std::uint32_t>(share * s_full), most);
        }
    }
    for (ActiveRun* it : filling) {
        if (it->orderedPace == ActiveRun::s_unknownPace)
            continue;
        std::uint32_t ordered = it->orderedPace;
        bool isLower = it->wantedPace + s_lowerStep <= ordered || (it->wantedPace == 0 && ordered > 0);
        bool isHigher = it->wantedPace >= ordered + s_raiseStep || (it->wantedPace == s_full && ordered < s_full);
        bool isSettled = now - it->pacedAt >= s_raiseAfter;
        if (!isLower && !(isHigher && isSettled))
            it->wantedPace = ordered;
    }
}

double FillPacer::meanPress(const StepSpec& spec)
{
    if (m_servingImages.empty())
        return 0;
    InterferenceTable::ImageId image = m_table.idOf(spec.image);
    double sum = 0;
    for (InterferenceTable::ImageId it : m_servingImages)
        sum += effectOf(m_table, it, image) * coresOf(spec);
    return sum / static_cast<double>(m_servingImages.size());
}

void FillPacer::refreshLoads(ActiveExecutor& executor)
{
    executor.areLoadsStale = false;
    executor.servingLoads.clear();
    for (const ActiveRun* serving : executor.runs) {
        if (!serving->task->step->spec->servesUsers() || serving->image == ActiveRun::s_noImage)
            continue;
        auto same = [&](const ActiveExecutor::ServingLoad& it) { return it.image == serving->image; };
        auto found = std::find_if(executor.servingLoads.begin(), executor.servingLoads.end(), same);
        if (found == executor.servingLoads.end())
            executor.servingLoads.push_back({ serving->image, s_leastHeadroom - serving->own.mean });
        else
            found->beyond = std::max(found->beyond, s_leastHeadroom - serving->own.mean);
    }
    for (const ActiveRun* it : executor.runs) {
        const StepSpec& spec = *it->task->step->spec;
        if (!spec.fills())
            continue;
        InterferenceTable::ImageId image = it->image == ActiveRun::s_noImage ? m_table.idOf(spec.image) : it->image;
        for (ActiveExecutor::ServingLoad& load : executor.servingLoads)
            load.beyond += effectOf(m_table, load.image, image) * coresOf(spec);
    }
}

FillPacer::Press FillPacer::pressOn(ActiveExecutor& executor, const StepSpec& spec)
{
    if (executor.areLoadsStale)
        refreshLoads(executor);
    Press press;
    if (executor.servingLoads.empty())
        return press;
    InterferenceTable::ImageId image = m_table.idOf(spec.image);
    double cores = coresOf(spec);
    for (const ActiveExecutor::ServingLoad& it : executor.servingLoads) {
        double taken = effectOf(m_table, it.image, image) * cores;
        press.most = std::max(press.most, taken);
        press.excess = std::max(press.excess, std::min(it.beyond + taken, taken));
    }
    return press;
}

} // namespace plantainhold
