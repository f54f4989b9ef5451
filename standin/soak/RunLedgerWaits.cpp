// The part of RunLedger that finds jobs and long-running tasks which wait while executors have
// room for them.

#include "standin/soak/RunLedger.h"

#include "standin/soak/SoakOptions.h"

#include <algorithm>
#include <utility>

namespace plantainhold::soak {

namespace {

    // Every task takes one run's room, and there must be room for two of them.
    bool hasRoomTwice(const FleetRoom& room)
    {
        return room.capacity >= room.running + 2;
    }

    bool isUnderHalf(const FleetRoom& room)
    {
        return 2 * room.running < room.capacity;
    }

    std::string textOf(const FleetRoom& room)
    {
        return std::to_string(room.running) + " runs in room for " + std::to_string(room.capacity);
    }

} // namespace

bool RunLedger::Wait::exceeds(Milliseconds limit, bool isWaiting, TimePoint now)
{
    if (!isWaiting) {
        *this = {};
        return false;
    }
    if (!since)
        since = now;
    return now >= *since + limit && !std::exchange(isReported, true);
}

bool RunLedger::isCalmFor(Milliseconds time, TimePoint now) const
{
    return m_calmSince && now >= std::max(*m_calmSince, m_fleetChangedAt) + time;
}

void RunLedger::checkWaiting(const FleetRoom& room, TimePoint now)
{
    for (auto& [id, job] : m_jobs) {
        if (!job.isOwed())
            continue;
        checkWaitingJob(id, job, room, now);
        for (LongRunningTask& it : job.longRunning)
            checkWaitingTask(job, it, room, now);
    }
}

void RunLedger::checkWaitingJob(const std::string& id, Job& job, const FleetRoom& room, TimePoint now)
{
    bool isChecked = m_trafficEndedAt && now >= *m_trafficEndedAt + s_finishCheck;
    bool isIdle = job.running.empty() && job.doneTasks.size() < job.tasks;
    // A job that was given up with cause does not wait; the clients will know it soon.
    Milliseconds limit = s_waitLimit + (job.mayBeGivenUp() ? s_visible : Milliseconds(0));
    if (job.wait.exceeds(limit, isChecked && hasRoomTwice(room) && isUnderHalf(room) && isIdle, now))
        report(Rule::Lost, "job " + id + " has had nothing running for " + std::to_string(limit.count()) + " ms with " + textOf(room));
}

void RunLedger::checkWaitingTask(const Job& job, LongRunningTask& task, const FleetRoom& room, TimePoint now)
{
    bool isRunning = std::any_of(job.running.begin(), job.running.end(), [&](RunId it) { return m_runs[it].start.task == task.name; });
    if (isRunning)
        task.lastRunAt = now;
    // A task that never ran waits since its job was accepted, and gives way to others while the fleet is full.
    TimePoint awaySince = task.lastRunAt.value_or(*job.acceptedAt);
    bool hasRoom = hasRoomTwice(room) && (task.lastRunAt || isUnderHalf(room));
    bool isDue = now >= awaySince + s_longRunningAway;
    Milliseconds limit = s_waitLimit + (job.mayBeGivenUp() ? s_visible : Milliseconds(0));
    if (task.wait.exceeds(limit, isDue && hasRoom && isCalmFor(s_calmBefore, now), now))
        report(Rule::Lost, "long-running task " + task.name + (task.lastRunAt ? " last ran " : " has not run and was accepted ") + std::to_string(std::chrono::duration_cast<Milliseconds>(now - awaySince).count()) + " ms ago, with " + textOf(room));
}

} // namespace plantainhold::soak
