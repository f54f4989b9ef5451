#include "standin/soak/RunLedger.h"

#include "standin/soak/SoakOptions.h"

#include <algorithm>
#include <utility>

namespace plantainhold::soak {

namespace {

    constexpr std::string_view s_ruleNames[] = { "TWICE", "LOST", "UNASKED", "REFUSED", "MIXED", "LIMIT", "BUDGET" };
    constexpr std::string_view s_endNames[] = { "done", "stopped", "lapsed", "gone" };

    constexpr unsigned s_evidentCrashes = 3;
    // A task under which this many executors have crashed may be given up, whatever crashed them.
    constexpr unsigned s_crashesToGiveUp = 2;
    constexpr unsigned s_allowedFurtherStarts = 2;

    std::string_view jobIdOf(std::string_view task)
    {
        return task.substr(0, task.find('.'));
    }

} // namespace

std::string_view nameOf(Rule rule)
{
    return s_ruleNames[static_cast<std::size_t>(rule)];
}

std::string_view nameOf(RunEnd end)
{
    return s_endNames[static_cast<std::size_t>(end)];
}

RunLedger::RunLedger(SoakLog& log, SenderOf senderOf)
    : m_log(log)
    , m_senderOf(std::move(senderOf))
{
}

RunLedger::Job* RunLedger::jobOf(std::string_view task)
{
    auto it = m_jobs.find(jobIdOf(task));
    return it == m_jobs.end() ? nullptr : &it->second;
}

RunLedger::RunId RunLedger::runStarted(RunStart start, TimePoint now)
{
    RunId run = m_runs.size();
    m_runs.push_back({ std::move(start), unixMs() });
    m_log.line("start " + describe(run));
    checkTwice(run);
    checkUnasked(run, now);
    checkBudget(run);
    m_runsOfTask[m_runs[run].start.task].push_back(run);
    if (Job* job = jobOf(m_runs[run].start.task))
        job->running.push_back(run);
    return run;
}

void RunLedger::checkTwice(RunId run)
{
    for (RunId other : m_runsOfTask[m_runs[run].start.task]) {
        Run& earlier = m_runs[other];
        if (!earlier.end) {
            report(Rule::Twice, "two runs at once: [" + describe(run) + "] while [" + describe(other) + "]");
        } else if (earlier.end == RunEnd::Done && !earlier.isExcused) {
            if (earlier.isAcknowledged)
                report(Rule::Twice, "start after an acknowledged end: [" + describe(run) + "] after [" + describe(other) + "]");
            else if (!earlier.laterStart)
                earlier.laterStart = run;
        }
    }
}

void RunLedger::checkUnasked(RunId run, TimePoint now)
{
    const Job* job = jobOf(m_runs[run].start.task);
    if (!job) {
        report(Rule::Unasked, "no client submitted the job: [" + describe(run) + "]");
        return;
    }
    if (job->payload != m_runs[run].start.payload)
        report(Rule::Unasked, "another payload than the client's: [" + describe(run) + "]");
    if (!job->acceptedAt && !job->isUncertain && !job->openSubmissions)
        report(Rule::Refused, "every submission was rejected: [" + describe(run) + "]");
    if (job->cancelledAt && m_calmSince && now > std::max(*job->cancelledAt, *m_calmSince + s_stability) + s_cancelLimit)
        report(Rule::Unasked, "start after a cancellation: [" + describe(run) + "]");
}

void RunLedger::checkBudget(RunId run)
{
    Job* job = jobOf(m_runs[run].start.task);
    if (!job || job->deadlyTask != m_runs[run].start.task || job->crashes < s_evidentCrashes)
        return;
    if (++job->furtherStarts > s_allowedFurtherStarts)
        report(Rule::Budget, std::to_string(job->crashes) + " executors crashed under the task: [" + describe(run) + "]");
}

void RunLedger::startedOverCapacity(RunId run, std::size_t runs, std::size_t room)
{
    report(Rule::Limit, std::to_string(runs) + " runs and room for " + std::to_string(room) + ": [" + describe(run) + "]");
}

void RunLedger::stopOrdered(RunId run)
{
    if (m_runs[run].stopUnixMs)
        return;
    m_runs[run].stopUnixMs = unixMs();
    m_log.line("stop " + describe(run));
}

void RunLedger::runEnded(RunId run, RunEnd end)
{
    Run& record = m_runs[run];
    record.end = end;
    record.endedUnixMs = unixMs();
    m_log.line("end " + describe(run));
    Job* job = jobOf(record.start.task);
    if (!job)
        return;
    std::erase(job->running, run);
    if (end == RunEnd::Done)
        job->doneTasks[record.start.task] = true;
    if (end != RunEnd::ExecutorGone)
        return;
    ++job->crashesOfTask[record.start.task];
    job->crashes += job->deadlyTask == record.start.task;
}

void RunLedger::endAcknowledged(RunId run)
{
    Run& record = m_runs[run];
    if (record.isAcknowledged || record.isExcused)
        return;
    record.isAcknowledged = true;
    if (record.laterStart)
        report(Rule::Twice, "start after an end that was acknowledged later: [" + describe(*record.laterStart) + "] after [" + describe(run) + "]");
}

void RunLedger::endExcused(RunId run)
{
    if (!m_runs[run].isAcknowledged)
        m_runs[run].isExcused = true;
}

void RunLedger::jobSubmitted(const std::string& job, std::string payload, std::uint32_t tasks, std::string deadlyTask)
{
    Job& it = m_jobs[job];
    it.payload = std::move(payload);
    it.tasks = tasks;
    it.deadlyTask = std::move(deadlyTask);
}

void RunLedger::longRunningJobSubmitted(const std::string& job, std::string payload, std::uint32_t tasks)
{
    jobSubmitted(job, std::move(payload), tasks);
    for (std::uint32_t i = 0; i < tasks; ++i)
        m_jobs.at(job).longRunning.push_back({ job + ".0.0." + std::to_string(i) });
}

void RunLedger::submissionOpen(const std::string& job)
{
    ++m_jobs.at(job).openSubmissions;
}

void RunLedger::submissionAccepted(const std::string& job, TimePoint now)
{
    Job& it = m_jobs.at(job);
    --it.openSubmissions;
    if (!it.acceptedAt)
        it.acceptedAt = now;
}

void RunLedger::submissionRejected(const std::string& job)
{
    --m_jobs.at(job).openSubmissions;
}

void RunLedger::submissionUncertain(const std::string& job)
{
    Job& it = m_jobs.at(job);
    --it.openSubmissions;
    it.isUncertain = true;
}

void RunLedger::cancelRequested(const std::string& job)
{
    m_jobs.at(job).isCancelRequested = true;
}

void RunLedger::cancelAcknowledged(const std::string& job, TimePoint now)
{
    Job& it = m_jobs.at(job);
    if (!it.cancelledAt)
        it.cancelledAt = now;
}

bool RunLedger::Job::mayBeGivenUp() const
{
    if (!deadlyTask.empty())
        return true;
    return std::any_of(crashesOfTask.begin(), crashesOfTask.end(), [](const auto& it) { return it.second >= s_crashesToGiveUp; });
}

void RunLedger::jobShown(const std::string& job, JobAnswer answer, bool isInstanceInTouch, TimePoint now)
{
    Job& it = m_jobs.at(job);
    if (answer == JobAnswer::Open)
        return;
    if (answer == JobAnswer::Completed && it.doneTasks.size() < it.tasks)
        report(Rule::Mixed, "job " + job + " is shown as completed after " + std::to_string(it.doneTasks.size()) + " of " + std::to_string(it.tasks) + " tasks have ended so");
    bool isFailedWithCause = answer == JobAnswer::Failed && it.mayBeGivenUp();
    // Also an instance that was disturbed must not say that a job has failed which could be done.
    if (answer == JobAnswer::Failed && !it.mayBeGivenUp() && !it.isCancelRequested && !isInstanceInTouch)
        report(Rule::Lost, "job " + job + " has no deadly task and is shown as failed");
    bool isDenied = !isFailedWithCause && answer != JobAnswer::Completed;
    if (isDenied && it.acceptedAt && !it.isCancelRequested && isInstanceInTouch && now > *it.acceptedAt + s_visible)
        report(Rule::Lost, "accepted job " + job + " is denied, or shown as failed or cancelled without cause");
    // While an instance is disturbed, its denial is no proof of what the job's state is.
    it.isFinal |= answer != JobAnswer::Unknown || it.isCancelRequested;
}

void RunLedger::checkCancelled(TimePoint now)
{
    if (!m_calmSince)
        return;
    for (auto& [id, job] : m_jobs) {
        if (!job.cancelledAt || now <= std::max(*job.cancelledAt, *m_calmSince + s_stability) + s_cancelLimit + s_stopTimeout)
            continue;
        for (RunId run : job.running) {
            if (!std::exchange(m_runs[run].isReported, true))
                report(Rule::Unasked, "a cancelled job's run goes on: [" + describe(run) + "]");
        }
    }
}

void RunLedger::checkFinished()
{
    for (const auto& [id, job] : m_jobs) {
        if (job.isUnfinished())
            report(Rule::Lost, "accepted job " + id + " has not ended " + std::to_string(s_finishLimit.count()) + " ms after the last fault; " + std::to_string(job.doneTasks.size()) + " of " + std::to_string(job.tasks) + " tasks are done, " + std::to_string(job.running.size()) + " run");
    }
}

std::size_t RunLedger::openJobs() const
{
    return static_cast<std::size_t>(std::count_if(m_jobs.begin(), m_jobs.end(), [](const auto& it) { return it.second.isUnfinished(); }));
}

std::size_t RunLedger::completedJobs() const
{
    return static_cast<std::size_t>(std::count_if(m_jobs.begin(), m_jobs.end(), [](const auto& it) { return it.second.doneTasks.size() >= it.second.tasks; }));
}

void RunLedger::report(Rule rule, std::string text)
{
    m_log.line("VIOLATION " + std::string(nameOf(rule)) + " " + text);
    m_log.flush();
    m_violations.push_back({ rule, std::move(text) });
}

std::string RunLedger::describe(RunId run) const
{
    const Run& it = m_runs[run];
    std::string text = it.start.task + " run " + std::to_string(it.start.number) + " on " + it.start.executor + " born " + std::to_string(it.start.bornUnixMs) + " token " + std::to_string(it.start.token) + " from " + m_senderOf(it.start.token) + " start " + std::to_string(it.startedUnixMs);
    if (it.stopUnixMs)
        text += " stop " + std::to_string(it.stopUnixMs);
    if (it.end)
        text += " " + std::string(nameOf(*it.end)) + " " + std::to_string(it.endedUnixMs);
    if (it.isAcknowledged)
        text += " acknowledged";
    if (it.isExcused)
        text += " excused";
    return text;
}

} // namespace plantainhold::soak
