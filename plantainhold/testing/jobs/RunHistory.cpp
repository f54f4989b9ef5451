#include "plantainhold/testing/jobs/RunHistory.h"

#include "plantainhold/jobs/JobTable.h"
#include "plantainhold/jobs/KeptState.h"
#include "plantainhold/testing/jobs/SimulatedJobs.h"
#include "plantainhold/testing/jobs/SimulationContext.h"

#include <algorithm>

namespace plantainhold {

namespace {

    constexpr std::int64_t s_cancelMs = 3'000;
    // Time after the last disturbance until leases have expired and all executors have been heard.
    constexpr std::int64_t s_recoveryMs = 12'000;
    // How long a job, or a task that lasts, may wait beside room.
    constexpr std::int64_t s_maxWaitMs = 3'000;
    constexpr std::int64_t s_maxLastingWaitMs = 6'000;
    // How long a long-running task may be away before its waiting counts, and how long it may wait then.
    constexpr std::int64_t s_maxAwayMs = 6'000;
    constexpr std::int64_t s_maxCalmWaitMs = 3'000;
    // How long before that it must have been calm.
    constexpr std::int64_t s_calmMs = 4'000;
    // Interval between two checks of waiting jobs.
    constexpr std::int64_t s_waitCheckMs = 500;

} // namespace

RunHistory::RunHistory(SimulationContext& context, const SimulatedJobs& jobs)
    : m_context(context)
    , m_jobs(jobs)
{
}

void RunHistory::fail(const std::string& what)
{
    m_context.trace().add("VIOLATION", { { "what", what } });
    m_violations.push_back(std::to_string(m_context.now()) + " ms: " + what);
}

bool RunHistory::isDone(const TaskName& task)
{
    return m_tasks[task.text()].isDone;
}

void RunHistory::started(std::size_t executor, const FakeExecutor::Running& run)
{
    ++m_starts;
    std::string name = run.task.text();
    TaskHistory& history = m_tasks[name];
    m_context.trace().add("run starts", { { "task", name }, { "run", run.run }, { "slot", executor } });
    m_calmlyWaitingSince.erase(name);
    m_waitingSince.erase(name);
    m_waitingSince.erase(run.task.job);
    checkStart(name, history, run);
    if (!m_jobs.isAllowed(run.task.job, executor))
        fail(name + " starts where the advice service does not allow it");
    checkPrecedingSteps(name, run.task);
    for (auto& [done, later] : history.startedAfterDone)
        later.insert(run.run);
    history.running.insert({ executor, run.run });
}

void RunHistory::checkStart(const std::string& name, const TaskHistory& history, const FakeExecutor::Running& run)
{
    if (!history.running.empty())
        fail(name + " runs twice at once");
    if (history.isDoneAcknowledged)
        fail(name + " starts after its end was acknowledged");
    if (history.acknowledgedFailures >= s_maxAttempts)
        fail(name + " starts after all its attempts failed");
    // A command sent before the cancellation may be carried out late without the owner's knowledge.
    auto cancelled = m_jobs.cancelTimes().find(run.task.job);
    if (cancelled != m_jobs.cancelTimes().end() && m_context.now() > cancelled->second + s_cancelMs + m_context.longestCommandDelayMs())
        fail(name + " starts long after its job was cancelled");
}

std::vector<TaskName> RunHistory::tasksOf(const std::string& job) const
{
    const JobSpec& spec = m_jobs.specs().at(job);
    std::vector<TaskName> names;
    for (std::uint32_t occurrence = 0; occurrence < spec.occurrences(); ++occurrence) {
        for (std::uint32_t step = 0; step < spec.steps.size(); ++step) {
            for (std::uint32_t n = 0; n < spec.steps[step].taskCount; ++n)
                names.push_back({ job, occurrence, step, n });
        }
    }
    return names;
}

bool RunHistory::isDue(const TaskName& task) const
{
    const JobSpec& spec = m_jobs.specs().at(task.job);
    return !spec.isTimed() || m_context.now() >= spec.dueUnixMs(task.occurrence);
}

void RunHistory::checkPrecedingSteps(const std::string& name, const TaskName& task)
{
    const JobSpec& spec = m_jobs.specs().at(task.job);
    for (std::uint32_t before : spec.steps[task.step].after) {
        for (std::uint32_t n = 0; n < spec.steps[before].taskCount; ++n) {
            if (!isDone({ task.job, task.occurrence, before, n }))
                fail(name + " starts before what it waits for");
        }
    }
    if (!isDue(task))
        fail(name + " starts before it is due");
}

void RunHistory::ended(std::size_t executor, const FakeExecutor::Running& run, EndKind kind)
{
    std::string name = run.task.text();
    m_context.trace().add("run ends", { { "task", name }, { "run", run.run }, { "slot", executor }, { "kind", static_cast<int>(kind) } });
    TaskHistory& history = m_tasks[name];
    history.running.erase({ executor, run.run });
    history.lastEndedAt = m_context.now();
    history.failures += kind == EndKind::Failed;
    if (kind != EndKind::Done)
        return;
    history.isDone = true;
    history.startedAfterDone[run.run];
}

void RunHistory::acknowledged(const ReportedEnd& end)
{
    std::string name = end.task.text();
    TaskHistory& history = m_tasks[name];
    m_context.trace().add("end acknowledged", { { "task", name }, { "run", end.run }, { "number", end.number } });
    history.acknowledgedFailures += end.kind == EndKind::Failed;
    if (end.kind != EndKind::Done)
        return;
    history.isDoneAcknowledged = true;
    if (!history.startedAfterDone[end.run].empty())
        fail(name + " was started after its end, which is acknowledged now");
}

void RunHistory::crashed(std::size_t executor)
{
    for (auto& [name, history] : m_tasks) {
        std::size_t runs = std::erase_if(history.running, [&](const auto& it) { return it.first == executor; });
        history.crashes += runs;
        if (runs > 0)
            history.lastEndedAt = m_context.now();
    }
}

void RunHistory::exceeded(const std::string& executor)
{
    fail(executor + " is over its capacity after a start");
}

void RunHistory::startedInEvacuated(const std::string& executor)
{
    fail(executor + " is sent a start after its data centre was evacuated");
}

void RunHistory::checkCompleted(const std::string& job)
{
    for (const TaskName& it : tasksOf(job)) {
        if (!isDone(it))
            fail(job + " is shown as completed before its end");
    }
}

void RunHistory::checkCancelledRuns()
{
    std::int64_t bound = s_cancelMs + m_context.options().limits.stopTimeout.count();
    for (const auto& [id, cancelledAt] : m_jobs.cancelTimes()) {
        std::int64_t since = std::max(m_context.disturbedUntil(), cancelledAt);
        if (m_context.now() < since + bound || m_context.now() >= since + bound + SimulationContext::s_stepMs)
            continue;
        for (const auto& [name, history] : m_tasks) {
            if (name.starts_with(id + ".") && !history.running.empty())
                fail(name + " runs on after its job was cancelled");
        }
    }
}

void RunHistory::checkWaitingJobs(const std::vector<Room>& rooms, const JobTable& table)
{
    std::int64_t calmSince = std::max(m_context.disturbedUntil(), m_context.options().faultsMs) + s_recoveryMs;
    if (m_context.now() % s_waitCheckMs != 0)
        return;
    if (m_context.options().hasStrictChecks)
        checkCalmStretch(rooms, table);
    Resources capacity;
    Resources used;
    for (const Room& it : rooms) {
        capacity += it.capacity;
        used += it.used;
    }
    if (m_context.now() < calmSince || !(used + used).fitsIn(capacity))
        return m_waitingSince.clear();
    for (const auto& [id, spec] : m_jobs.specs()) {
        if (m_jobs.isWanted(id) && !hasFailed(id) && !isGivenUp(id, table))
            checkWaitingJob(id, rooms);
    }
}

void RunHistory::checkWaitingJob(const std::string& job, const std::vector<Room>& rooms)
{
    const JobSpec& spec = m_jobs.specs().at(job);
    bool isRunning = false;
    bool isWaiting = false;
    for (const TaskName& task : tasksOf(job)) {
        bool waits = isWaitingBesideRoom(task, rooms);
        isRunning |= !m_tasks[task.text()].running.empty();
        isWaiting |= waits;
        if (spec.steps[task.step].isLongRunning && waitsTooLong(m_waitingSince, task.text(), waits, s_maxLastingWaitMs))
            fail(task.text() + " could run and doesn't");
    }
    if (waitsTooLong(m_waitingSince, job, isWaiting && !isRunning, s_maxWaitMs))
        fail(job + " could run and doesn't");
}

bool RunHistory::waitsTooLong(std::map<std::string, std::int64_t>& since, const std::string& name, bool isWaiting, std::int64_t limitMs) const
{
    if (!isWaiting) {
        since.erase(name);
        return false;
    }
    return m_context.now() == since.emplace(name, m_context.now()).first->second + limitMs;
}

// Simulations with other faults than the loss of executors can't bear this check. An executor that is cut off
// may have accepted a start whose response was lost, under the longest lease (SchedulerLimits::maxLease): its task
// waits for longer than s_calmMs after it. And with a fault in most seconds they have no calm stretches.
void RunHistory::checkCalmStretch(const std::vector<Room>& rooms, const JobTable& table)
{
    bool isCalm = m_context.now() >= m_context.disturbedUntil() + s_calmMs;
    if (!isCalm)
        m_calmlyWaitingSince.clear();
    for (const auto& [id, spec] : m_jobs.specs()) {
        checkGivenUp(id, table);
        if (isCalm && spec.isLongRunning() && m_jobs.isWanted(id) && !m_givenUp.contains(id))
            checkCalmlyWaitingJob(id, rooms);
    }
}

void RunHistory::checkCalmlyWaitingJob(const std::string& job, const std::vector<Room>& rooms)
{
    const JobSpec& spec = m_jobs.specs().at(job);
    for (std::uint32_t n = 0; n < spec.steps.front().taskCount; ++n) {
        TaskName task { job, 0, 0, n };
        std::optional<std::int64_t> lastEndedAt = m_tasks[task.text()].lastEndedAt;
        bool isAwayTooLong = !lastEndedAt || m_context.now() >= *lastEndedAt + s_maxAwayMs;
        if (waitsTooLong(m_calmlyWaitingSince, task.text(), isAwayTooLong && isWaitingBesideRoom(task, rooms), s_maxCalmWaitMs))
            fail(task.text() + " waits beside room in a calm stretch, " + (lastEndedAt ? "away for " + std::to_string(m_context.now() - *lastEndedAt) + " ms" : "never started"));
    }
}

void RunHistory::checkGivenUp(const std::string& job, const JobTable& table)
{
    const StoredJob* stored = table.find(job);
    if (stored && stored->state == JobState::Failed && !hasFailed(job) && m_givenUp.insert(job).second)
        fail(job + " is given up though none of its tasks failed so often");
}

bool RunHistory::isWaitingBesideRoom(const TaskName& task, const std::vector<Room>& rooms)
{
    const TaskHistory& history = m_tasks[task.text()];
    if (isDone(task) || !history.running.empty() || !isDue(task) || !isTurnOf(task))
        return false;
    const Resources needed = m_jobs.specs().at(task.job).steps[task.step].reserved();
    return std::any_of(rooms.begin(), rooms.end(), [&](const Room& it) { return m_jobs.isAllowed(task.job, it.slot) && (it.used + needed + needed).fitsIn(it.capacity); });
}

bool RunHistory::isTurnOf(const TaskName& task)
{
    const JobSpec& spec = m_jobs.specs().at(task.job);
    for (std::uint32_t before : spec.steps[task.step].after) {
        for (std::uint32_t n = 0; n < spec.steps[before].taskCount; ++n) {
            if (!isDone({ task.job, task.occurrence, before, n }))
                return false;
        }
    }
    return true;
}

bool RunHistory::hasFailed(const std::string& job)
{
    const std::vector<TaskName> tasks = tasksOf(job);
    return std::any_of(tasks.begin(), tasks.end(), [this](const TaskName& it) { return m_tasks[it.text()].failures >= s_maxAttempts; });
}

bool RunHistory::isGivenUp(const std::string& job, const JobTable& table) const
{
    const StoredJob* stored = table.find(job);
    if (!stored || stored->state != JobState::Failed)
        return false;
    return std::any_of(m_tasks.begin(), m_tasks.end(), [&](const auto& it) { return it.first.starts_with(job + ".") && it.second.crashes >= s_crashesToGiveUp; });
}

void RunHistory::checkKept(const KeptState& kept)
{
    std::optional<std::size_t> most = m_context.options().maxKeptTasks;
    if (most && kept.tasks > *most)
        fail("an owner keeps " + std::to_string(kept.tasks) + " tasks of " + std::to_string(kept.occurrences) + " occurrences");
}

void RunHistory::checkFinalStates(const JobTable& table)
{
    for (const auto& [id, spec] : m_jobs.specs()) {
        const StoredJob* job = table.find(id);
        bool isCancelled = m_jobs.cancelTimes().contains(id);
        if (job && m_jobs.mayWaitForever(id))
            continue;
        if (!job || (!isFinal(job->state) && !(spec.isLongRunning() && !isCancelled)))
            fail(id + " did not come to its end");
    }
}

} // namespace plantainhold
