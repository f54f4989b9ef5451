// The part of ActiveJob that says what the next owner needs to know.

#include "plantainhold/jobs/ActiveExecutor.h"
#include "plantainhold/jobs/ActiveJob.h"

#include <algorithm>

namespace plantainhold {

JobProgress ActiveJob::progress() const
{
    JobProgress progress { state, hasStarted, {}, {}, {}, {}, {} };
    if (isFinal(state))
        return progress;
    if (!settings.hasSameTerms(spec->settings))
        progress.settings = settings;
    addDoneOccurrences(progress);
    for (const auto& [number, occurrence] : suspendedOccurrences) {
        for (const SuspendedOccurrence::DoneRange& it : occurrence.done)
            addDone(progress, number, it.step, it.tasks);
    }
    for (const auto& [number, occurrence] : occurrences) {
        if (occurrence.isDone())
            continue;
        for (const ActiveStep& it : occurrence.steps) {
            for (const IndexRange& done : it.tasks.done())
                addDone(progress, number, it.number, done);
            addOpen(progress, it);
        }
    }
    std::sort(progress.tasks.begin(), progress.tasks.end(), [](const TaskProgress& a, const TaskProgress& b) { return a.place() < b.place(); });
    return progress;
}

void ActiveJob::addDoneOccurrences(JobProgress& progress) const
{
    if (totalTasks() > s_maxListedTasks) {
        progress.doneOccurrences = doneOccurrences.ranges();
        return;
    }
    for (const IndexRange& it : doneOccurrences.ranges()) {
        for (std::uint32_t occurrence = it.first; occurrence < it.end(); ++occurrence) {
            for (std::uint32_t step = 0; step < spec->steps.size(); ++step)
                addDone(progress, occurrence, step, { 0, spec->steps[step].taskCount });
        }
    }
}

void ActiveJob::addDone(JobProgress& progress, std::uint32_t occurrence, std::uint32_t step, IndexRange range) const
{
    if (totalTasks() <= s_maxListedTasks) {
        for (std::uint32_t index = range.first; index < range.end(); ++index) {
            TaskProgress& it = progress.tasks.emplace_back();
            it.occurrence = occurrence;
            it.step = step;
            it.index = index;
            it.isDone = true;
        }
        return;
    }
    if (range.count < spec->steps[step].taskCount) {
        progress.doneTasks.push_back({ occurrence, step, range });
        return;
    }
    DoneSteps* last = progress.doneSteps.empty() ? nullptr : &progress.doneSteps.back();
    if (last && last->occurrence == occurrence && last->steps.end() == step)
        ++last->steps.count;
    else
        progress.doneSteps.push_back({ occurrence, { step, 1 } });
}

void ActiveJob::addOpen(JobProgress& progress, const ActiveStep& step) const
{
    for (const ActiveTask& task : step.tasks.open()) {
        bool isKnown = task.lastRun || task.failures || !(task.crashes == CrashCounts {});
        // done() has named it.
        if (!isKnown || task.isDone || task.wasDoneByEarlierRun)
            continue;
        TaskProgress& it = progress.tasks.emplace_back();
        it.occurrence = step.occurrence->number;
        it.step = step.number;
        it.index = task.index;
        it.run = task.lastRun;
        it.failures = task.failures;
        it.checkpoint = task.checkpoint;
        it.crashes = task.crashes;
        it.isSpared = task.isSpared;
        if (!task.run)
            continue;
        it.isRunProven = task.run->isProven;
        it.isRunSeen = task.run->isSeen;
        it.hasRunOutlastedStart = task.run->hasOutlastedStart;
        it.executor = task.run->executor->entry.id;
        it.executorStartedUnixMs = task.run->incarnation ? task.run->incarnation : task.run->executor->entry.startedUnixMs;
    }
}

} // namespace plantainhold
