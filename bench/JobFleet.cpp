#include "bench/JobFleet.h"

#include "plantainhold/jobs/JobTable.h"

#include <algorithm>
#include <cmath>
#include <ctime>

namespace plantainhold::bench {

namespace {

    constexpr std::int64_t s_stepMs = 10;
    constexpr std::size_t s_executorsPerRack = 8;
    constexpr std::int64_t s_leadMs = 4'000;
    constexpr std::int64_t s_commitMs = 20;
    constexpr std::int64_t s_reportPauseMs = 90;
    constexpr std::int64_t s_reportWaitMs = 1'000;
    constexpr double s_targetTailMs = 18;
    constexpr double s_idleTailMs = 4;
    // Utilization that one core of a filling task adds to pairs of images that don't press hard.
    constexpr double s_lightEffect = 0.008;
    constexpr double s_swing = 0.22;
    constexpr double s_swingMs = 10'000;
    constexpr double s_fullLoad = 0.98;
    constexpr double s_tailNoise = 0.05;
    // Part of its reservation that a serving task uses.
    constexpr double s_servingUse = 0.42;
    constexpr std::array<const char*, 3> s_queues { "short", "filling", "lasting" };
    constexpr std::array<double, 3> s_deadlineFactors { 1.5, 2, 2.2 };
    constexpr std::array<std::uint32_t, 3> s_latencies { 250, 1'000, 2'500 };
    constexpr std::array<std::int32_t, 3> s_priorities { 0, 2, 0 };

    JobKind kindOf(const StepSpec& step)
    {
        if (step.isLongRunning)
            return JobKind::Lasting;
        return step.usesLeftoverCpu ? JobKind::Filling : JobKind::Short;
    }

    std::string rackName(std::size_t number) { return "r1-" + std::to_string(number); }

    double processorSeconds()
    {
        timespec now {};
        clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
        return static_cast<double>(now.tv_sec) + static_cast<double>(now.tv_nsec) / 1e9;
    }

} // namespace

struct JobFleet::Executor {
    struct Running {
        TaskName task;
        std::uint32_t run = 0;
        JobKind kind = JobKind::Short;
        std::uint32_t image = 0;
        double leftMs = 0;
        double doneMs = 0;
        double cores = 0;
        double usedCores = 0;
        double phase = 0;
        std::uint32_t pace = 100;
    };

    ExecutorEntry entry;
    std::vector<Running> running;
    std::vector<ReportedEnd> ended;
    std::uint64_t nextEnd = 1;
    std::uint64_t token = 0;
    std::int64_t nextReport = 0;
    std::int64_t lastReport = -s_reportWaitMs;
};

struct JobFleet::Job {
    JobKind kind = JobKind::Short;
    std::int64_t sentAt = 0;
    std::int64_t objective = 0;
    std::uint32_t tasksLeft = 0;
    std::shared_ptr<const JobSpec> spec;
};

JobFleetOptions JobFleetOptions::forExecutors(std::size_t executors, std::uint64_t seed)
{
    double scale = static_cast<double>(executors) / 350;
    JobFleetOptions options;
    options.seed = seed;
    options.executors = executors;
    options.loads[0] = { 18 * scale, 0, 1.6, 10, 640, { 4'100, 4'600, 0 }, 4 };
    options.loads[1] = { 25 * scale, static_cast<std::uint32_t>(12 * scale), 2, 20, 1'700, { 3'500, 6'400, 0 }, 9 };
    options.loads[2] = { 0.7 * scale, static_cast<std::uint32_t>(128 * scale), 1, 14, 0, { 6'400, 13'000, 0 }, 5 };
    return options;
}

JobFleet::JobFleet(const JobFleetOptions& options)
    : m_options(options)
    , m_random(options.seed)
    , m_config(std::make_shared<FleetConfig>(1))
{
    for (std::size_t i = 0; i < s_queues.size(); ++i) {
        Queue queue;
        queue.name = s_queues[i];
        queue.settings.service = "service";
        queue.settings.maxAttempts = 3;
        queue.settings.deadlineFactor = s_deadlineFactors[i];
        queue.settings.targetLatencyMs = s_latencies[i];
        queue.settings.priority = s_priorities[i];
        m_config->add(queue);
    }
    SchedulerLimits limits;
    limits.remoteFactor = options.waitsForRacks ? options.remoteFactor : 1;
    m_scheduler = std::make_unique<JobScheduler>(limits, 1, OwnerTerm { 0, true, {} }, m_events, at(0));
    m_scheduler->termRecorded();
    m_scheduler->configure(m_config);
    std::bernoulli_distribution isHeavy(options.heavyShare);
    std::uniform_real_distribution<double> strength(0.3, 1.7);
    // Its own, so that a spread of 0 draws the same as before.
    std::mt19937_64 loads(options.seed);
    for (std::uint32_t serving = 0; serving < options.loads[2].images; ++serving) {
        m_imageLoads.push_back(options.load + options.loadSpread * (2 * std::generate_canonical<double, 32>(loads) - 1));
        std::vector<double>& row = m_effects.emplace_back();
        for (std::uint32_t filling = 0; filling < options.loads[1].images; ++filling)
            row.push_back(strength(m_random) * (isHeavy(m_random) ? options.heavyEffect : s_lightEffect));
    }
    addExecutors();
}

JobFleet::~JobFleet() = default;

void JobFleet::addExecutors()
{
    for (std::size_t i = 0; i < m_options.executors; ++i) {
        auto executor = std::make_unique<Executor>();
        executor->entry.id = "i-" + std::to_string(i);
        executor->entry.service = "service";
        executor->entry.address = "executor";
        executor->entry.capacity = { i % 3 == 2 ? 48'000 : 32'000, i % 3 == 2 ? 192'000 : 128'000, 0 };
        executor->entry.labels = { "a", rackName(i / s_executorsPerRack) };
        executor->entry.startedUnixMs = 1;
        executor->nextReport = static_cast<std::int64_t>(i) % s_reportWaitMs;
        m_byId[executor->entry.id] = executor.get();
        m_scheduler->executorListed(executor->entry, at(0));
        m_executors.push_back(std::move(executor));
    }
}

void JobFleet::timed(double& sum, const std::function<void()>& call)
{
    double began = processorSeconds();
    call();
    double took = processorSeconds() - began;
    sum += took;
    m_figures.longestCallMs = std::max(m_figures.longestCallMs, took * 1'000);
}

std::string JobFleet::drawRack()
{
    if (m_options.nearShare <= 0)
        return {};
    std::uniform_real_distribution<double> share(0, 1);
    bool isNear = share(m_random) < m_options.nearShare;
    bool isHot = share(m_random) < m_options.hotShare;
    std::size_t racks = (m_options.executors + s_executorsPerRack - 1) / s_executorsPerRack;
    std::size_t number = isHot ? 0 : m_random() % racks;
    return isNear ? rackName(number) : std::string();
}

void JobFleet::addJob(JobKind kind)
{
    const JobKindLoad& load = m_options.loads[static_cast<std::size_t>(kind)];
    auto number = static_cast<std::size_t>(kind);
    std::lognormal_distribution<double> spread(-0.08, 0.4);
    auto spec = std::make_shared<JobSpec>();
    spec->queue = s_queues[number];
    auto steps = static_cast<std::uint32_t>(std::max(1.0, std::round(load.steps * spread(m_random))));
    std::uint32_t image = static_cast<std::uint32_t>(m_random() % load.images);
    Job job;
    job.kind = kind;
    job.sentAt = m_now;
    double chain = 0;
    std::string rack = kind == JobKind::Short ? drawRack() : std::string();
    for (std::uint32_t i = 0; i < steps; ++i) {
        StepSpec& step = spec->steps.emplace_back();
        step.taskCount = static_cast<std::uint32_t>(std::max(1.0, load.tasksPerStep * spread(m_random)));
        double size = std::min(1.5, spread(m_random));
        step.resources = { static_cast<std::int64_t>(static_cast<double>(load.resources.millicores) * size), static_cast<std::int64_t>(static_cast<double>(load.resources.memoryMib) * size), 0 };
        step.estimateMs = static_cast<std::uint32_t>(static_cast<double>(load.workMs) * spread(m_random));
        if (i > 0)
            step.after.push_back(i - 1);
        step.dataRack = rack;
        step.image = std::string(s_queues[number]) + "-" + std::to_string(image);
        step.isLongRunning = kind == JobKind::Lasting;
        step.targetTailMs = step.isLongRunning ? s_targetTailMs : 0;
        step.usesLeftoverCpu = kind == JobKind::Filling;
        step.checkpoints = kind == JobKind::Filling;
        chain += step.estimateMs;
        job.tasksLeft += step.taskCount;
    }
    job.objective = m_now + static_cast<std::int64_t>(chain * s_deadlineFactors[number]) + s_latencies[number];
    job.spec = spec;
    std::string id = "job-" + std::to_string(m_nextJob++);
    StoredJob stored;
    stored.spec = spec;
    m_jobs[id] = job;
    timed(m_figures.placingSeconds, [&] { m_scheduler->submit(id, stored, at(m_now)); });
}

void JobFleet::arrive()
{
    for (std::size_t i = 0; i < m_due.size(); ++i) {
        const JobKindLoad& load = m_options.loads[i];
        if (m_now == s_leadMs / 2) {
            for (std::uint32_t n = 0; n < load.standing; ++n)
                addJob(static_cast<JobKind>(i));
        }
        if (m_now < s_leadMs)
            continue;
        m_due[i] += load.jobsPerSecond * s_stepMs / 1'000;
        for (; m_due[i] >= 1; m_due[i] -= 1)
            addJob(static_cast<JobKind>(i));
    }
}

double JobFleet::tailRatio(const Executor& executor, std::size_t serving) const
{
    const Executor::Running& it = executor.running[serving];
    double load = m_imageLoads[it.image] + s_swing * std::sin(static_cast<double>(m_now) / s_swingMs * 6.28 + it.phase);
    for (const Executor::Running& other : executor.running) {
        if (other.kind == JobKind::Filling)
            load += m_effects[it.image][other.image] * other.usedCores;
    }
    return s_idleTailMs / (1 - std::min(load, s_fullLoad)) / s_targetTailMs;
}

void JobFleet::work()
{
    for (const auto& executor : m_executors) {
        double busy = 0;
        double wanted = 0;
        for (const Executor::Running& it : executor->running) {
            if (it.kind == JobKind::Filling)
                wanted += it.cores * it.pace / 100;
            else
                busy += it.kind == JobKind::Lasting ? it.cores * s_servingUse : it.cores;
        }
        double left = std::max(0.0, static_cast<double>(executor->entry.capacity.millicores) / 1'000 - busy);
        double share = wanted > left ? left / wanted : 1;
        for (std::size_t i = 0; i < executor->running.size();) {
            Executor::Running& it = executor->running[i];
            double speed = it.kind == JobKind::Filling ? share * it.pace / 100 : 1;
            it.usedCores = it.cores * speed;
            if (it.kind == JobKind::Filling) {
                m_figures.fillingPaceSum += it.pace;
                ++m_figures.fillingSamples;
            }
            if (it.kind == JobKind::Lasting) {
                m_figures.servingSeconds += s_stepMs / 1'000.0;
                m_figures.servingOverSeconds += tailRatio(*executor, i) > 1 ? s_stepMs / 1'000.0 : 0;
                ++i;
                continue;
            }
            it.doneMs += speed * s_stepMs;
            if (it.doneMs < it.leftMs)
                ++i;
            else
                finish(*executor, i, EndKind::Done);
        }
    }
}

void JobFleet::finish(Executor& executor, std::size_t index, EndKind how)
{
    const Executor::Running it = executor.running[index];
    std::string saved = it.kind == JobKind::Filling && how != EndKind::Done ? std::to_string(static_cast<std::int64_t>(it.leftMs - it.doneMs)) : std::string();
    executor.ended.push_back({ executor.nextEnd++, it.task, it.run, how, saved });
    executor.running.erase(executor.running.begin() + static_cast<std::ptrdiff_t>(index));
    executor.nextReport = std::min(executor.nextReport, std::max(m_now, executor.lastReport + s_reportPauseMs));
    auto job = m_jobs.find(it.task.job);
    if (how != EndKind::Done || job == m_jobs.end() || --job->second.tasksLeft)
        return;
    auto kind = static_cast<std::size_t>(job->second.kind);
    if (job->second.sentAt >= s_leadMs) {
        ++m_figures.judged[kind];
        m_figures.inTime[kind] += m_now <= job->second.objective;
        m_figures.jobSeconds[kind] += static_cast<double>(m_now - job->second.sentAt) / 1'000;
    }
    m_jobs.erase(job);
}

void JobFleet::carryOut(const ExecutorCommand& command)
{
    Executor& executor = *m_byId.at(command.executor);
    TimePoint now = at(m_now);
    std::optional<JobScheduler::SendParameters> parameters;
    timed(m_figures.orderSeconds, [&] { parameters = m_scheduler->prepareSend(command, now); });
    if (!parameters)
        return;
    auto found = std::find_if(executor.running.begin(), executor.running.end(), [&](const Executor::Running& it) { return it.task == command.task && it.run == command.run; });
    if (command.kind == CommandKind::Start) {
        const StepSpec& step = command.spec->steps[command.task.step];
        Executor::Running run;
        run.task = command.task;
        run.run = command.run;
        run.kind = kindOf(step);
        run.image = static_cast<std::uint32_t>(std::stoul(step.image.substr(step.image.rfind('-') + 1)));
        run.cores = static_cast<double>(step.resources.millicores) / 1'000;
        std::lognormal_distribution<double> stretch(0, 0.2);
        run.leftMs = command.checkpoint.empty() ? step.estimateMs * stretch(m_random) : std::stod(command.checkpoint);
        if (!step.dataRack.empty() && step.dataRack != executor.entry.labels.back())
            run.leftMs *= m_options.remoteFactor;
        // The tasks of a job serve the same callers.
        run.phase = static_cast<double>(std::hash<std::string>()(command.task.job) % 628) / 100;
        executor.running.push_back(run);
        ++m_figures.starts;
    } else if (command.kind == CommandKind::Stop && found != executor.running.end()) {
        if (found->kind == JobKind::Filling) {
            ++m_figures.fillingStops;
            m_figures.mostStopsOfTask = std::max(m_figures.mostStopsOfTask, ++m_stops[command.task.text()]);
        }
        finish(executor, static_cast<std::size_t>(found - executor.running.begin()), EndKind::Stopped);
    } else if (command.kind == CommandKind::Pace && found != executor.running.end()) {
        found->pace = command.percent;
    }
    timed(m_figures.orderSeconds, [&] { m_scheduler->commandFinished(command, { CommandResult::Accepted, {}, now, {} }, now); });
}

void JobFleet::report(Executor& executor)
{
    std::optional<ReportRequest> request;
    timed(m_figures.reportSeconds, [&] { request = m_scheduler->nextReport(executor.entry.id, at(m_now)); });
    if (!request)
        return;
    ++m_figures.reports;
    std::erase_if(executor.ended, [&](const ReportedEnd& it) { return it.number <= request->ackCursor; });
    std::normal_distribution<double> noise(0, s_tailNoise);
    ExecutorReport report;
    report.startedUnixMs = 1;
    report.clockMs = m_now;
    report.ended = executor.ended;
    for (std::size_t i = 0; i < executor.running.size(); ++i) {
        const Executor::Running& it = executor.running[i];
        double figure = it.kind == JobKind::Lasting ? std::round(s_targetTailMs * tailRatio(executor, i) * std::exp(noise(m_random))) : it.usedCores * 1'000;
        std::string saved = it.kind == JobKind::Filling && it.doneMs >= 1'000 ? std::to_string(static_cast<std::int64_t>(it.leftMs - it.doneMs)) : std::string();
        report.running.push_back({ it.task, it.run, saved, 100, figure });
    }
    m_figures.ends += executor.ended.size();
    timed(m_figures.reportSeconds, [&] { m_scheduler->reported(executor.entry.id, *request, report, { CommandResult::Accepted, {}, at(m_now), {} }, at(m_now)); });
    executor.lastReport = m_now;
    executor.nextReport = m_now + std::max(s_reportPauseMs, request->waitMs);
}

void JobFleet::store()
{
    if (!m_commits.empty()) {
        if (m_commits.front().first > m_now)
            return;
        timed(m_figures.storingSeconds, [&] { m_scheduler->committed(m_commits.front().second, at(m_now)); });
        m_commits.pop_front();
    }
    CommitBatch batch;
    timed(m_figures.storingSeconds, [&] { batch = m_scheduler->takeBatch(at(m_now)); });
    if (batch.isEmpty())
        return;
    for (const auto& [id, value] : batch.progress)
        m_figures.storedBytes += id.size() + value.size();
    m_commits.emplace_back(m_now + s_commitMs, std::move(batch));
}

void JobFleet::judge()
{
    // Jobs that are still open and late count as missed.
    for (const auto& [id, job] : m_jobs) {
        bool isDue = job.kind != JobKind::Lasting && job.objective < m_now && job.sentAt >= s_leadMs;
        m_figures.judged[static_cast<std::size_t>(job.kind)] += isDue;
    }
}

JobFleetFigures JobFleet::run()
{
    for (; m_now < s_leadMs + m_options.seconds * 1'000; m_now += s_stepMs) {
        arrive();
        work();
        for (const auto& it : m_executors) {
            if (m_now >= it->nextReport)
                report(*it);
        }
        timed(m_figures.placingSeconds, [&] { m_scheduler->advance(at(m_now), m_now); });
        store();
        for (const ExecutorCommand& it : m_scheduler->takeCommands()) {
            if (it.kind != CommandKind::Fence)
                carryOut(it);
        }
    }
    judge();
    m_figures.counters = m_scheduler->counters();
    return m_figures;
}

} // namespace plantainhold::bench
