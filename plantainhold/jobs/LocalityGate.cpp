#include "plantainhold/jobs/LocalityGate.h"

#include "plantainhold/jobs/ActiveExecutor.h"
#include "plantainhold/jobs/ActiveJob.h"
#include "plantainhold/jobs/Eligibility.h"
#include "plantainhold/jobs/JobPrioritizer.h"
#include "plantainhold/jobs/LocalityWait.h"
#include "plantainhold/jobs/PlacementCost.h"
#include "plantainhold/jobs/SchedulerCounters.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <limits>
#include <utility>

namespace plantainhold {

namespace {

    // Bounds of the stretch that an executor's slowness stands for.
    constexpr double s_minStretch = 0.5;
    constexpr double s_maxStretch = 4;

    Resources roomOn(const ActiveExecutor& executor, bool isBestEffort)
    {
        Resources room = executor.freeCapacity();
        if (isBestEffort)
            room.millicores = bestEffortRoom(executor);
        return room;
    }

    // What a task of the step takes of such room.
    Resources takenBy(const StepSpec& spec, bool isBestEffort)
    {
        return isBestEffort && spec.isBestEffort() ? spec.resources : spec.reserved();
    }

    std::uint32_t tasksThatFit(const ActiveExecutor& executor, const StepSpec& spec)
    {
        Resources room = executor.freeCapacity();
        Resources wanted = spec.reserved();
        std::uint32_t most = spec.maxPerExecutor ? std::min(spec.maxPerExecutor, spec.taskCount) : spec.taskCount;
        std::uint32_t n = 0;
        while (n < most && wanted.fitsIn(room)) {
            room -= wanted;
            ++n;
        }
        return n;
    }

} // namespace

LocalityGate::LocalityGate(double remoteFactor, const JobPrioritizer& prioritizer)
    : m_remoteFactor(remoteFactor)
    , m_prioritizer(prioritizer)
{
}

void LocalityGate::beginRound(std::span<ActiveExecutor* const> executors, std::uint64_t executorsVersion)
{
    m_executors = executors;
    m_executorsVersion = executorsVersion;
    m_forecasts.clear();
}

void LocalityGate::updateRacks()
{
    if (m_racksVersion == m_executorsVersion)
        return;
    m_racksVersion = m_executorsVersion;
    m_racks.clear();
    for (const ActiveExecutor* it : m_executors)
        m_racks[it->rack].push_back(it);
}

double LocalityGate::stretchOn(const ActiveExecutor& executor, const ActiveTask& task) const
{
    const std::string& rack = task.step->spec->dataRack;
    return rack.empty() || rack == executor.rack ? 1 : m_remoteFactor;
}

Milliseconds LocalityGate::expectedOn(const ActiveExecutor& executor, const ActiveTask& task) const
{
    Milliseconds expected = m_prioritizer.expected(task.step->job().spec->queue, task.step->spec->estimateMs);
    double stretch = std::clamp(std::exp(executor.slowness), s_minStretch, s_maxStretch) * stretchOn(executor, task);
    return Milliseconds(static_cast<std::int64_t>(static_cast<double>(expected.count()) * stretch));
}

LocalityGate::Forecast& LocalityGate::forecastOf(const std::string& rack, bool isBestEffort, TimePoint now)
{
    auto [it, isNew] = m_forecasts.try_emplace({ rack, isBestEffort }, Forecast { { now, now + LocalityWait::s_longestWait }, {} });
    Forecast& forecast = it->second;
    if (!isNew)
        return forecast;
    updateRacks();
    auto executors = m_racks.find(rack);
    if (executors == m_racks.end())
        return forecast;
    forecast.executors = executors->second;
    for (const ActiveExecutor* executor : forecast.executors) {
        std::size_t room = forecast.rack.addRoom(roomOn(*executor, isBestEffort));
        for (const ActiveRun* run : executor->runs) {
            const StepSpec& spec = *run->task->step->spec;
            if (!spec.isLongRunning)
                forecast.rack.addEnd(room, run->begunAt() + expectedOn(*executor, *run->task), takenBy(spec, isBestEffort));
        }
    }
    return forecast;
}

bool LocalityGate::mayPassOver(const ActiveTask& task, const ActiveExecutor& chosen) const
{
    const StepSpec& spec = *task.step->spec;
    if (spec.dataRack.empty() || spec.dataRack == chosen.rack || m_remoteFactor <= 1 || !spec.estimateMs)
        return false;
    // A gang holds room for its members that are placed already, and capacity was freed for a nominated task.
    return !spec.isGang && !spec.isLongRunning && !task.nominated && !task.crashes.isSuspect();
}

std::optional<TimePoint> LocalityGate::passesOver(ActiveTask& task, const ActiveExecutor& chosen, TimePoint now)
{
    task.passesOverUntil = {};
    if (!mayPassOver(task, chosen))
        return std::nullopt;
    const ActiveStep& step = *task.step;
    bool isFirst = task.passesOverSince == TimePoint {};
    LocalityQuestion question { {}, expectedOn(chosen, task), std::nullopt, isFirst ? now : task.passesOverSince, m_prioritizer.latestStartOf(step), now };
    // Before room near the data is looked for: most tasks that have to start now are found here.
    if (LocalityWait::mayWaitUntil(question) <= now)
        return std::nullopt;
    bool isBestEffort = step.spec->isBestEffort();
    Forecast& forecast = forecastOf(step.spec->dataRack, isBestEffort, now);
    auto isOpen = [&](std::size_t room) { return isEligible(*forecast.executors[room], step, now); };
    Resources wanted = takenBy(*step.spec, isBestEffort);
    std::optional<RackForecast::Slot> slot = forecast.rack.next(wanted, isOpen);
    // Where there seems to be room now, something else keeps the task away, and no end of a run changes that.
    if (!slot || slot->when <= now)
        return std::nullopt;
    question.near = expectedOn(*forecast.executors[slot->room], task);
    question.roomAt = slot->when;
    std::optional<TimePoint> until = LocalityWait::decide(question);
    if (!until)
        return std::nullopt;
    forecast.rack.claim(*slot, wanted, question.near);
    task.passesOverUntil = *until;
    task.passesOverSince = question.passesOverSince;
    return until;
}

void LocalityGate::noteStart(ActiveTask& task, SchedulerCounters& counters, TimePoint now) const
{
    const StepSpec& spec = *task.step->spec;
    if (spec.dataRack.empty())
        return;
    ++counters.rackRuns;
    bool isRemote = task.run->executor->rack != spec.dataRack;
    counters.remoteRuns += isRemote;
    if (task.passesOverSince == TimePoint {})
        return;
    ++counters.rackWaits;
    counters.rackWaitsInVain += isRemote;
    counters.rackWaitMs += static_cast<std::uint64_t>(std::chrono::duration_cast<Milliseconds>(now - task.passesOverSince).count());
    task.passesOverSince = {};
    task.passesOverUntil = {};
}

void LocalityGate::chooseRack(ActiveStep& step, TimePoint now)
{
    step.preferredRack.clear();
    if (!step.spec->prefersOneRack || m_remoteFactor <= 1)
        return;
    updateRacks();
    double best = std::numeric_limits<double>::max();
    for (const auto& [rack, executors] : m_racks) {
        std::uint32_t n = 0;
        double slowness = 0;
        for (const ActiveExecutor* it : executors) {
            std::uint32_t here = isEligible(*it, step, now) ? tasksThatFit(*it, *step.spec) : 0;
            n += here;
            slowness = here ? std::max(slowness, it->slowness) : slowness;
        }
        // The whole gang takes that much longer.
        double cost = std::exp(slowness) * (step.spec->dataRack.empty() || step.spec->dataRack == rack ? 1 : m_remoteFactor);
        bool isBetter = cost < best || (cost == best && rack < step.preferredRack);
        if (n < step.spec->taskCount || !isBetter)
            continue;
        best = cost;
        step.preferredRack = rack;
    }
}

} // namespace plantainhold
