#include "plantainhold/jobs/WaitingTaskMonitor.h"

#include "plantainhold/base/EventSink.h"
#include "plantainhold/jobs/ActiveExecutor.h"
#include "plantainhold/jobs/ActiveJob.h"

#include <algorithm>
#include <chrono>
#include <string>
#include <tuple>
#include <vector>

namespace plantainhold {

namespace {

    std::int64_t msSince(TimePoint when, TimePoint now)
    {
        return std::chrono::duration_cast<Milliseconds>(now - when).count();
    }

    TimePoint waitingSince(const ActiveStep& step)
    {
        TimePoint since = step.tasks.untouched() ? step.tasks.nextUntouched().waitingSince : TimePoint::max();
        for (const ActiveTask& it : step.tasks.open())
            since = it.isWaiting() ? std::min(since, it.waitingSince) : since;
        return since;
    }

    // Long-running tasks first, which may wait for the shortest time; then those that have waited longest.
    std::vector<const ActiveStep*> byUrgency(const std::unordered_set<ActiveStep*>& steps)
    {
        struct Waiting {
            bool isShort = false;
            TimePoint since {};
            const ActiveStep* step = nullptr;
        };
        std::vector<Waiting> waiting;
        for (const ActiveStep* it : steps)
            waiting.push_back({ !it->spec->isLongRunning, waitingSince(*it), it });
        std::sort(waiting.begin(), waiting.end(), [](const Waiting& a, const Waiting& b) { return std::tie(a.isShort, a.since) < std::tie(b.isShort, b.since); });
        std::vector<const ActiveStep*> sorted;
        for (const Waiting& it : waiting)
            sorted.push_back(it.step);
        return sorted;
    }

} // namespace

void WaitingTaskMonitor::check(const std::unordered_set<ActiveStep*>& readySteps, std::span<ActiveExecutor* const> executors, const Explain& explain, bool isRoundDue, TimePoint now)
{
    if (now < m_checkedAt + s_interval)
        return;
    m_checkedAt = now;
    std::size_t lines = 0;
    for (const ActiveStep* it : byUrgency(readySteps)) {
        if (lines >= s_maxLines)
            return;
        lines += checkStep(*it, executors, explain, isRoundDue, now);
    }
    for (const ActiveExecutor* executor : executors) {
        for (const ActiveRun* it : executor->runs) {
            bool isStalled = it->phase != RunPhase::Running && now >= it->assignedAt + s_limit;
            if (isStalled && lines++ < s_maxLines)
                noteStalledRun(*it, now);
        }
    }
}

bool WaitingTaskMonitor::checkStep(const ActiveStep& step, std::span<ActiveExecutor* const> executors, const Explain& explain, bool isRoundDue, TimePoint now)
{
    auto waitsTooLong = [&](const ActiveTask& it) { return it.isWaiting() && now >= it.waitingSince + s_limit; };
    auto open = step.tasks.open();
    auto found = std::find_if(open.begin(), open.end(), waitsTooLong);
    const ActiveTask untouched = step.tasks.nextUntouched();
    const ActiveTask* task = found == open.end() ? &untouched : &*found;
    if (task == &untouched && (!step.tasks.untouched() || !waitsTooLong(untouched)))
        return false;
    Counts counts {};
    std::size_t withRoom = 0;
    const ActiveExecutor* example = nullptr;
    Resources wanted = step.spec->reserved();
    for (ActiveExecutor* it : executors) {
        if (!it->isListed || !wanted.fitsIn(it->freeCapacity()))
            continue;
        PlacementObstacle obstacle = explain(*it, *task);
        if (obstacle == PlacementObstacle::OtherService || obstacle == PlacementObstacle::MissingLabel)
            continue;
        ++withRoom;
        ++counts[static_cast<std::size_t>(obstacle)];
        example = it;
    }
    if (!withRoom)
        return false;
    std::string obstacles;
    for (std::size_t i = 0; i < counts.size(); ++i) {
        if (counts[i])
            obstacles += std::string(obstacles.empty() ? "" : " ") + std::string(nameOf(static_cast<PlacementObstacle>(i))) + ':' + std::to_string(counts[i]);
    }
    m_events.note(EventId::TaskStalled, { { "task", task->name().text() }, { "waited_ms", msSince(task->waitingSince, now) }, { "last_run", task->lastRun }, { "not_before_ms", std::max<std::int64_t>(0, -msSince(task->notBefore, now)) }, { "nominated", task->nominated ? task->nominated->entry.id : std::string() }, { "millicores", wanted.millicores }, { "executors_with_room", withRoom }, { "obstacles", obstacles }, { "example", example->entry.id }, { "example_report_ms_ago", example->hasClock ? msSince(example->clockReadAt, now) : -1 }, { "round_due", isRoundDue } });
    return true;
}

void WaitingTaskMonitor::noteStalledRun(const ActiveRun& run, TimePoint now)
{
    const ActiveExecutor& executor = *run.executor;
    m_events.note(EventId::StartStalled, { { "task", run.task->name().text() }, { "run", run.number }, { "executor", executor.entry.id }, { "incarnation", executor.entry.startedUnixMs }, { "phase", nameOf(run.phase) }, { "assigned_ms_ago", msSince(run.assignedAt, now) }, { "report_ms_ago", executor.hasClock ? msSince(executor.clockReadAt, now) : -1 }, { "lease_left_ms", -msSince(executor.leaseExpiresAt, now) }, { "failed_calls", executor.failedCalls } });
}

} // namespace plantainhold
