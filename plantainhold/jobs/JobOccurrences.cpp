// The part of ActiveJob that decides which occurrences are open, and keeps what is known of the others
// (docs/design/job-state.md).

#include "plantainhold/jobs/ActiveJob.h"

#include <algorithm>
#include <utility>

namespace plantainhold {

std::optional<std::uint32_t> ActiveJob::nextOccurrence() const
{
    std::uint32_t next = openedOccurrences.firstMissing();
    return next < spec->occurrences() ? std::optional(next) : std::nullopt;
}

ActiveJob::Offer ActiveJob::offer() const
{
    Offer offer { std::vector<std::size_t>(spec->steps.size()), 0 };
    for (const auto& [number, occurrence] : occurrences) {
        offer.idleSteps += occurrence.placedTasks ? 0 : occurrence.steps.size();
        for (const ActiveStep& it : occurrence.steps)
            offer.tasks[it.number] += occurrence.offeredTasks(it);
    }
    return offer;
}

bool ActiveJob::wantsOccurrence(const Offer& offer) const
{
    const std::size_t wanted = hasRoomFor(offer) ? s_offeredTasks : 1;
    for (std::size_t step = 0; step < spec->steps.size(); ++step) {
        if (spec->steps[step].after.empty() && offer.tasks[step] < wanted)
            return true;
    }
    return occurrences.empty();
}

std::optional<std::uint32_t> ActiveJob::occurrenceToResume(const Offer& offer) const
{
    if (suspendedOccurrences.empty())
        return std::nullopt;
    if (hasRoomFor(offer))
        return suspendedOccurrences.begin()->first;
    for (const auto& [step, numbers] : suspendedByStep) {
        if (!offer.tasks[step] && !numbers.empty())
            return *numbers.begin();
    }
    return std::nullopt;
}

ActiveOccurrence* ActiveJob::occurrenceToSuspend(const Offer& offer)
{
    if (offer.idleSteps <= s_maxIdleSteps)
        return nullptr;
    auto isOfferedElsewhere = [&](const ActiveOccurrence& occurrence) {
        return std::all_of(occurrence.steps.begin(), occurrence.steps.end(), [&](const ActiveStep& it) {
            std::size_t offered = occurrence.offeredTasks(it);
            return !offered || offer.tasks[it.number] > offered;
        });
    };
    auto found = std::find_if(occurrences.rbegin(), occurrences.rend(), [&](const auto& it) { return it.second.isIdle() && isOfferedElsewhere(it.second); });
    return found == occurrences.rend() ? nullptr : &found->second;
}

void ActiveJob::suspend(std::uint32_t number)
{
    auto it = occurrences.find(number);
    SuspendedOccurrence& suspended = suspendedOccurrences[number];
    suspended.waitingSince = it->second.waitingSince;
    for (const ActiveStep& step : it->second.steps) {
        for (const IndexRange& range : step.tasks.done())
            suspended.done.push_back({ step.number, range });
        if (it->second.offeredTasks(step))
            suspendedByStep[step.number].insert(number);
    }
    occurrences.erase(it);
}

ActiveOccurrence& ActiveJob::resume(std::uint32_t number)
{
    SuspendedOccurrence suspended = std::move(suspendedOccurrences.extract(number).mapped());
    for (auto& [step, numbers] : suspendedByStep)
        numbers.erase(number);
    std::map<std::uint32_t, IndexSet> done;
    for (const SuspendedOccurrence::DoneRange& it : suspended.done)
        done[it.step].insert(it.tasks);
    ActiveOccurrence& occurrence = openOccurrence(number, suspended.waitingSince);
    for (const auto& [step, tasks] : done)
        restoreStep(occurrence.steps[step], tasks, tasks.ranges().back().end());
    return occurrence;
}

void ActiveJob::restoreStep(ActiveStep& step, const IndexSet& done, std::uint32_t end)
{
    step.tasks.restore(done, end);
    step.doneTasks = done.count();
    if (step.isDone())
        step.occurrence->noteStepDone();
}

ActiveOccurrence& ActiveJob::openOccurrence(std::uint32_t number, TimePoint waitingSince)
{
    ActiveOccurrence& occurrence = occurrences[number];
    openedOccurrences.insert(number);
    occurrence.job = this;
    occurrence.number = number;
    occurrence.waitingSince = waitingSince;
    occurrence.steps.resize(spec->steps.size());
    for (std::uint32_t i = 0; i < spec->steps.size(); ++i) {
        ActiveStep& step = occurrence.steps[i];
        step.occurrence = &occurrence;
        step.spec = &spec->steps[i];
        step.number = i;
        step.tasks = TaskTable(step, step.spec->taskCount, waitingSince);
        occurrence.doneSteps += step.isDone();
    }
    if (occurrence.isDone())
        doneOccurrences.insert(number);
    return occurrence;
}

void ActiveJob::restoreOpened(const JobProgress& progress, TimePoint now)
{
    struct Opened {
        IndexSet done;
        std::uint32_t end = 0;

        bool hasOpenTasks() const { return done.count() < end; }
        void add(IndexRange range, bool isDone)
        {
            if (isDone)
                done.insert(range);
            end = std::max(end, range.end());
        }
    };
    std::map<std::uint32_t, std::map<std::uint32_t, Opened>> opened;
    auto add = [&](std::uint32_t occurrence, std::uint32_t step, IndexRange range, bool isDone) {
        bool exists = occurrence < spec->occurrences() && step < spec->steps.size() && range.first < spec->steps[step].taskCount;
        if (exists && !doneOccurrences.contains(occurrence))
            opened[occurrence][step].add({ range.first, std::min(range.count, spec->steps[step].taskCount - range.first) }, isDone);
    };
    for (const IndexRange& it : progress.doneOccurrences) {
        if (it.first < spec->occurrences())
            doneOccurrences.insert({ it.first, std::min(it.count, spec->occurrences() - it.first) });
    }
    for (const DoneSteps& it : progress.doneSteps) {
        for (std::uint32_t step = it.steps.first; step < it.steps.end() && step < spec->steps.size(); ++step)
            add(it.occurrence, step, { 0, spec->steps[step].taskCount }, true);
    }
    for (const DoneTasks& it : progress.doneTasks)
        add(it.occurrence, it.step, it.tasks, true);
    for (const TaskProgress& it : progress.tasks)
        add(it.occurrence, it.step, { it.index, 1 }, it.isDone);
    for (const IndexRange& it : doneOccurrences.ranges())
        openedOccurrences.insert(it);
    for (const auto& [number, steps] : opened) {
        ActiveOccurrence& occurrence = openOccurrence(number, now);
        for (const auto& [index, it] : steps)
            restoreStep(occurrence.steps[index], it.done, it.end);
        bool hasOpenTasks = std::any_of(steps.begin(), steps.end(), [](const auto& it) { return it.second.hasOpenTasks(); });
        if (occurrence.isDone())
            occurrences.erase(number);
        else if (!hasOpenTasks)
            suspend(number);
    }
}

void ActiveJob::removeDone()
{
    std::erase_if(occurrences, [](const auto& it) { return it.second.isDone() && !it.second.placedTasks; });
    for (auto& [number, occurrence] : occurrences) {
        for (ActiveStep& it : occurrence.steps)
            it.tasks.removeDone();
    }
}

} // namespace plantainhold
