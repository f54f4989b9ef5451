#include "plantainhold/testing/jobs/RunHistory.h"

#include "plantainhold/jobs/JobTable.h"
#include "plantainhold/testing/jobs/SimulatedJobs.h"
#include "plantainhold/testing/jobs/SimulationContext.h"

#include <algorithm>

namespace plantainhold {

namespace {

    constexpr std::int64_t s_cancelMs = 3'000;

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
    checkStart(name, history, run);
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

void RunHistory::checkPrecedingSteps(const std::string& name, const TaskName& task)
{
    const JobSpec& spec = m_jobs.specs().at(task.job);
    for (std::uint32_t before : spec.steps[task.step].after) {
        for (std::uint32_t n = 0; n < spec.steps[before].taskCount; ++n) {
            if (!isDone({ task.job, 0, before, n }))
                fail(name + " starts before what it waits for");
        }
    }
}

void RunHistory::ended(std::size_t executor, const FakeExecutor::Running& run, EndKind kind)
{
    std::string name = run.task.text();
    m_context.trace().add("run ends", { { "task", name }, { "run", run.run }, { "slot", executor }, { "kind", static_cast<int>(kind) } });
    TaskHistory& history = m_tasks[name];
    history.running.erase({ executor, run.run });
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
    for (auto& [name, history] : m_tasks)
        std::erase_if(history.running, [&](const auto& it) { return it.first == executor; });
}

void RunHistory::exceeded(const std::string& executor)
{
    fail(executor + " is over its capacity after a start");
}

void RunHistory::checkCompleted(const std::string& job)
{
    const JobSpec& spec = m_jobs.specs().at(job);
    for (std::uint32_t i = 0; i < spec.steps.size(); ++i) {
        for (std::uint32_t n = 0; n < spec.steps[i].taskCount; ++n) {
            if (!isDone({ job, 0, i, n }))
                fail(job + " is shown as completed before its end");
        }
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

void RunHistory::checkFinalStates(const JobTable& table)
{
    for (const auto& [id, spec] : m_jobs.specs()) {
        const StoredJob* job = table.find(id);
        bool isCancelled = m_jobs.cancelTimes().contains(id);
        if (!job || (!isFinal(job->state) && !(spec.isLongRunning() && !isCancelled)))
            fail(id + " did not come to its end");
    }
}

} // namespace plantainhold
