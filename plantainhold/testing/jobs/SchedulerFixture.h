// A scheduler without a network: its batches are stored immediately, and its executors respond as the
// test says.
#pragma once

#include "plantainhold/jobs/JobCodec.h"
#include "plantainhold/jobs/JobScheduler.h"
#include "plantainhold/jobs/JobTable.h"
#include "plantainhold/testing/jobs/KeptEvents.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace plantainhold {

// No method is thread-safe.
class SchedulerFixture {
public:
    static constexpr std::uint64_t s_generation = 3;
    // Version of the configuration under which jobs are accepted.
    static constexpr std::uint64_t s_configVersion = 5;
    // Address of all executors.
    static constexpr const char* s_address = "10.0.0.1:80";

    // The test's clock begins at `start`.
    explicit SchedulerFixture(OwnerTerm former = { 0, true, {} }, bool needsAdvice = false, TimePoint start = TimePoint(std::chrono::hours(1)), const SchedulerLimits& limits = {})
        : m_limits(limits)
        , m_now(start)
        , m_scheduler(m_limits, s_generation, former, m_events, m_now)
    {
        auto config = std::make_shared<FleetConfig>(s_configVersion);
        for (std::int32_t priority : { 0, 2 }) {
            Queue queue;
            queue.name = "q" + std::to_string(priority);
            queue.settings.service = "service";
            queue.settings.priority = priority;
            queue.settings.maxAttempts = 2;
            queue.settings.needsAdvice = needsAdvice;
            config->add(queue);
        }
        m_accepting = config;
        configure(config);
        m_term = m_scheduler.recordTerm(m_now);
        m_scheduler.termRecorded();
    }

    void configure(std::shared_ptr<const FleetConfig> config) { m_scheduler.configure(std::move(config)); }

    // Lists an executor, or another incarnation of it, without a report.
    void list(const std::string& id, std::int64_t millicores, std::int64_t startedUnixMs, std::string_view address = s_address, std::string_view dataCentre = {})
    {
        ExecutorEntry entry;
        entry.id = id;
        entry.service = "service";
        entry.address = address;
        entry.dataCentre = dataCentre;
        entry.capacity = { millicores, 64'000, 0 };
        entry.labels = { "a", "r1" };
        entry.startedUnixMs = startedUnixMs;
        m_scheduler.executorListed(entry, m_now);
    }

    // Lists an executor in its first incarnation, which reports.
    void addExecutor(const std::string& id, std::int64_t millicores, std::string_view dataCentre = {})
    {
        list(id, millicores, 1, s_address, dataCentre);
        report(id, {}, {});
    }

    static StepSpec step(std::uint32_t tasks, std::int64_t millicores)
    {
        StepSpec spec;
        spec.taskCount = tasks;
        spec.resources = { millicores, 100, 0 };
        spec.estimateMs = 500;
        return spec;
    }

    void submit(const std::string& id, std::int32_t priority, std::vector<StepSpec> steps)
    {
        JobSpec spec;
        spec.steps = std::move(steps);
        submit(id, priority, std::move(spec));
    }

    // Submits a job that may have times; the fixture's wall clock stays at 0.
    void submit(const std::string& id, std::int32_t priority, JobSpec spec)
    {
        spec.queue = "q" + std::to_string(priority);
        spec.settings = m_accepting->settingsFor(spec.queue, {});
        m_table.applySubmission(JobTable::submissionKey(id), encodeSubmission(spec));
        m_scheduler.submit(id, *m_table.find(id), m_now);
    }

    // Advances the time, stores what was decided, and returns the commands.
    std::vector<ExecutorCommand> advance(Milliseconds time = Milliseconds(20))
    {
        m_now += time;
        m_scheduler.advance(m_now, 0);
        CommitBatch batch = m_scheduler.takeBatch(m_now);
        std::vector<std::string> refused;
        for (const auto& [key, value] : batch.progress) {
            m_largestRecord = std::max(m_largestRecord, value.size());
            if (!m_refusedJob.empty() && ProgressParts::jobOf(key) == m_refusedJob)
                refused.push_back(key);
            else
                store(key, value);
        }
        m_scheduler.committed(batch, m_now, refused);
        return m_scheduler.takeCommands();
    }

    // Accepts the starts; the responses show the clock of the incarnation that reported last.
    void accept(const std::vector<ExecutorCommand>& commands)
    {
        for (const ExecutorCommand& it : commands) {
            if (it.kind == CommandKind::Start && m_scheduler.prepareSend(it, m_now))
                m_scheduler.commandFinished(it, { CommandResult::Accepted, s_address, m_now, clockOf(it.executor) }, m_now);
        }
    }

    // Requests a report and delivers it at once.
    void report(const std::string& id, std::vector<ReportedRun> running, std::vector<ReportedEnd> ended, std::int64_t startedUnixMs = 1)
    {
        std::optional<ReportRequest> request = m_scheduler.nextReport(id, m_now);
        ExecutorReport report { startedUnixMs, 1'000, std::move(running), std::move(ended), false };
        m_scheduler.reported(id, *request, report, { CommandResult::Accepted, m_scheduler.executor(id)->entry.address, m_now, {} }, m_now);
    }

    // Returns the request of a report call that is under way from now on.
    std::pair<ReportRequest, TimePoint> sendReportRequest(const std::string& id) { return { *m_scheduler.nextReport(id, m_now), m_now }; }

    // Delivers the response to such a call.
    void deliver(const std::string& id, const std::pair<ReportRequest, TimePoint>& call, std::vector<ReportedRun> running, std::int64_t startedUnixMs = 1)
    {
        m_scheduler.reported(id, call.first, { startedUnixMs, 1'000, std::move(running), {}, false }, { CommandResult::Accepted, s_address, call.second, {} }, m_now);
    }

    // Adds a job with the progress that a former owner stored.
    void restore(const std::string& id, std::vector<StepSpec> steps, const JobProgress& progress)
    {
        JobSpec spec;
        spec.queue = "q0";
        spec.settings = m_accepting->settingsFor(spec.queue, {});
        spec.steps = std::move(steps);
        m_table.applySubmission(JobTable::submissionKey(id), encodeSubmission(spec));
        m_table.applyProgress(id, encodeProgress(progress), m_offset++);
        m_scheduler.submit(id, *m_table.find(id), m_now);
    }

    // Adds a job as another owner stored it. Precondition: its progress is one record.
    void takeOver(const std::string& id, const StoredJob& job)
    {
        m_table.applySubmission(JobTable::submissionKey(id), encodeSubmission(*job.spec));
        if (!job.progress.empty())
            m_table.applyProgress(id, job.progress, m_offset++);
        m_scheduler.submit(id, job, m_now);
    }

    // Deletes the records of a finished job.
    void drop(const std::string& id)
    {
        m_table.applySubmission(JobTable::submissionKey(id), {});
        m_scheduler.jobsDropped(std::vector<std::string> { id }, m_now);
    }

    // Answers the starts with responses that do not show which incarnation handled them.
    void answer(const std::vector<ExecutorCommand>& commands, CommandResult outcome)
    {
        for (const ExecutorCommand& it : commands) {
            if (it.kind == CommandKind::Start && m_scheduler.prepareSend(it, m_now))
                m_scheduler.commandFinished(it, { outcome, s_address, m_now, {} }, m_now);
        }
    }

    // From now on calls to the executor get no response, and it leaves the list.
    void disconnect(const std::string& id)
    {
        m_scheduler.executorUnlisted(id, m_now);
        std::optional<ReportRequest> request = m_scheduler.nextReport(id, m_now);
        m_scheduler.reportFailed(id, *request, { CommandResult::Unknown, s_address, m_now, {} }, m_now);
    }

    // From now on the store takes no record of this job; of none if it is empty.
    void refuseRecordsOf(std::string_view job) { m_refusedJob = job; }

    // Bytes of the largest value that was to be stored.
    std::size_t largestRecord() const { return m_largestRecord; }

    // Returns the job as stored so far.
    const StoredJob& storedJob(const std::string& id) const { return *m_table.find(id); }

    // Returns the estimates as stored last; none if they have not been stored.
    const LearnedState& storedEstimates() const { return m_learned; }

    // Returns the record of the term as stored last.
    const OwnerTerm& storedTerm() const { return m_term; }

    void reportAcknowledged(const std::string& id)
    {
        advance();
        report(id, {}, {});
    }

    JobScheduler& scheduler() { return m_scheduler; }
    const KeptEvents& events() const { return m_events; }
    TimePoint now() const { return m_now; }

private:
    void store(const std::string& key, const std::string& value)
    {
        if (key == JobScheduler::s_learnedKey)
            m_learned = *decodeLearned(value);
        else if (key == OwnerTerm::s_key)
            m_term = *decodeOwnerTerm(value);
        else
            m_table.applyProgress(key, value, m_offset++);
    }

    std::int64_t clockOf(const std::string& id) const
    {
        const ActiveExecutor& executor = *m_scheduler.executor(id);
        return executor.clockMs + std::chrono::duration_cast<Milliseconds>(m_now - executor.clockReadAt).count();
    }

    SchedulerLimits m_limits;
    KeptEvents m_events;
    TimePoint m_now;
    JobTable m_table;
    LearnedState m_learned;
    OwnerTerm m_term;
    std::shared_ptr<const FleetConfig> m_accepting;
    std::uint64_t m_offset = 0;
    std::string m_refusedJob;
    std::size_t m_largestRecord = 0;
    JobScheduler m_scheduler;
};

// Returns the number of start commands.
inline std::size_t starts(const std::vector<ExecutorCommand>& commands)
{
    return static_cast<std::size_t>(std::count_if(commands.begin(), commands.end(), [](const ExecutorCommand& it) { return it.kind == CommandKind::Start; }));
}

// Returns the number of stop commands.
inline std::size_t stops(const std::vector<ExecutorCommand>& commands)
{
    return static_cast<std::size_t>(std::count_if(commands.begin(), commands.end(), [](const ExecutorCommand& it) { return it.kind == CommandKind::Stop; }));
}

// Returns the number of runs that are started within the time.
inline std::size_t startsWithin(SchedulerFixture& fixture, Milliseconds time)
{
    constexpr Milliseconds s_step { 100 };
    std::size_t n = 0;
    for (Milliseconds passed { 0 }; passed < time; passed += s_step)
        n += starts(fixture.advance(s_step));
    return n;
}

// Submits job "j" of one task and returns the command that starts it.
inline std::vector<ExecutorCommand> startJob(SchedulerFixture& fixture)
{
    fixture.submit("j", 0, { SchedulerFixture::step(1, 1'000) });
    std::vector<ExecutorCommand> commands = fixture.advance();
    REQUIRE(starts(commands) == 1);
    return commands;
}

} // namespace plantainhold
