#include "plantainhold/testing/jobs/SimulatedJobs.h"

#include "plantainhold/jobs/JobCodec.h"
#include "plantainhold/jobs/JobTable.h"
#include "plantainhold/testing/jobs/SimulationContext.h"
#include "plantainhold/util/Hash.h"

namespace plantainhold {

namespace {

    constexpr std::int64_t s_maxLastingDelayMs = 10'000;
    constexpr std::int64_t s_maxBestEffortTasks = 20;
    constexpr std::size_t s_bestEffortImages = 6;
    constexpr std::int64_t s_minBestEffortMillicores = 1'000;
    constexpr std::int64_t s_maxBestEffortMillicores = 4'000;
    constexpr std::int64_t s_minLargeMillicores = 6'000;
    constexpr std::int64_t s_maxLargeMillicores = 10'000;

} // namespace

SimulatedJobs::SimulatedJobs(SimulationContext& context)
    : m_context(context)
{
    for (std::size_t i = 0; i < context.options().jobs; ++i)
        add(i);
    for (std::size_t i = 0; i < context.options().lastingJobs; ++i)
        addLasting(i);
    for (std::size_t i = 0; i < context.options().largeJobs; ++i)
        addLarge(i);
    for (std::size_t i = 0; i < context.options().bestEffortJobs; ++i)
        addBestEffort(i);
    for (std::size_t i = 0; i < context.options().timedJobs; ++i)
        addTimed(i);
}

void SimulatedJobs::add(std::size_t number)
{
    JobSpec spec;
    spec.queue = "queue";
    std::int64_t steps = m_context.random(1, 3);
    for (std::int64_t n = 0; n < steps; ++n) {
        StepSpec& step = spec.steps.emplace_back();
        step.taskCount = static_cast<std::uint32_t>(m_context.random(1, 4));
        step.resources = { m_context.random(500, 3'000), m_context.random(100, 3'000), 0 };
        step.estimateMs = static_cast<std::uint32_t>(m_context.random(100, 2'500));
        if (n > 0)
            step.after.push_back(static_cast<std::uint32_t>(n - 1));
    }
    if (number % 5 == 4) {
        spec.steps.resize(1);
        spec.steps[0].isLongRunning = true;
    }
    std::string id = "job" + std::to_string(number);
    m_specs[id] = spec;
    m_submitAt[id] = m_context.random(0, m_context.options().faultsMs - 5'000);
    if (number % 5 >= 3)
        m_cancelAt[id] = m_submitAt[id] + m_context.random(500, 20'000);
}

void SimulatedJobs::addLasting(std::size_t number)
{
    JobSpec spec;
    spec.queue = "queue";
    StepSpec& step = spec.steps.emplace_back();
    step.taskCount = static_cast<std::uint32_t>(m_context.random(1, m_context.options().lastingTasks));
    step.resources = { m_context.random(500, 1'500), m_context.random(100, 1'500), 0 };
    step.isLongRunning = true;
    std::string id = "lasting" + std::to_string(number);
    m_specs[id] = spec;
    std::int64_t from = m_context.options().lastingFromMs.value_or(m_context.options().faultsMs);
    m_submitAt[id] = m_context.random(from, from + s_maxLastingDelayMs);
}

void SimulatedJobs::addLarge(std::size_t number)
{
    JobSpec spec;
    spec.queue = "queue";
    StepSpec& step = spec.steps.emplace_back();
    step.taskCount = static_cast<std::uint32_t>(m_context.random(4, 10));
    step.resources = { m_context.random(s_minLargeMillicores, s_maxLargeMillicores), 1'000, 0 };
    step.estimateMs = 1'000;
    std::string id = "large" + std::to_string(number);
    m_specs[id] = spec;
    m_submitAt[id] = m_context.random(0, m_context.options().faultsMs);
    m_large.insert(id);
}

void SimulatedJobs::addBestEffort(std::size_t number)
{
    JobSpec spec;
    spec.queue = "queue";
    StepSpec& step = spec.steps.emplace_back();
    step.taskCount = static_cast<std::uint32_t>(m_context.random(1, s_maxBestEffortTasks));
    step.resources = { m_context.random(s_minBestEffortMillicores, s_maxBestEffortMillicores), m_context.random(100, 1'000), 0 };
    step.estimateMs = static_cast<std::uint32_t>(m_context.options().maxWorkMs / 2);
    step.usesLeftoverCpu = true;
    if (number % 2)
        step.image = "image" + std::to_string(number % s_bestEffortImages);
    std::string id = "besteffort" + std::to_string(number);
    m_specs[id] = spec;
    m_submitAt[id] = m_context.random(0, m_context.options().faultsMs);
}

void SimulatedJobs::addTimed(std::size_t number)
{
    constexpr std::int64_t s_longestIntervalMs = 500;
    JobSpec spec;
    spec.queue = "queue";
    std::int64_t steps = m_context.random(1, 2);
    for (std::int64_t n = 0; n < steps; ++n) {
        StepSpec& step = spec.steps.emplace_back();
        step.taskCount = static_cast<std::uint32_t>(m_context.random(15, 25));
        step.resources = { m_context.random(300, 600), 50, 0 };
        step.estimateMs = static_cast<std::uint32_t>(m_context.options().maxWorkMs / 2);
        step.checkpoints = m_context.chance(0.3);
        if (n > 0 && m_context.chance(0.7))
            step.after.push_back(static_cast<std::uint32_t>(n - 1));
    }
    std::string id = "timed" + std::to_string(number);
    std::int64_t times = m_context.random(30, 60);
    if (number % 3 == 1) {
        // Of many short occurrences, one step never finds a place.
        times *= 6;
        for (StepSpec& it : spec.steps)
            it.taskCount /= 5;
        StepSpec& step = spec.steps.emplace_back();
        step.taskCount = 2;
        step.resources = { 3 * s_maxLargeMillicores, 1'000, 0 };
        m_large.insert(id);
    }
    m_submitAt[id] = m_context.random(0, m_context.options().faultsMs / 2);
    spec.repeatCount = static_cast<std::uint32_t>(times);
    spec.intervalMs = m_context.random(0, s_longestIntervalMs);
    // From long past to soon to come.
    spec.firstDueUnixMs = m_submitAt[id] + m_context.random(-2, 1) * static_cast<std::int64_t>(spec.repeatCount) * spec.intervalMs / 2;
    m_specs[id] = spec;
    if (number % 3 == 2)
        m_cancelAt[id] = m_submitAt[id] + m_context.random(500, 20'000);
}

void SimulatedJobs::acceptUnder(const QueueSettings& settings)
{
    for (auto& [id, spec] : m_specs)
        spec.settings = settings;
}

bool SimulatedJobs::isAllowed(const std::string& job, std::size_t slot) const
{
    const SimulationOptions& options = m_context.options();
    return !options.advisedExecutors || (hash64(job) + slot) % options.executors < options.advisedExecutors;
}

bool SimulatedJobs::isWanted(const std::string& job) const
{
    auto cancelAt = m_cancelAt.find(job);
    return m_submitAt.at(job) <= m_context.now() && (cancelAt == m_cancelAt.end() || m_context.now() < cancelAt->second);
}

void SimulatedJobs::submitDue(JobTable& table) const
{
    for (const auto& [id, when] : m_submitAt) {
        if (when / SimulationContext::s_stepMs * SimulationContext::s_stepMs == m_context.now())
            table.applySubmission(JobTable::submissionKey(id), encodeSubmission(m_specs.at(id)));
    }
    for (const auto& [id, when] : m_cancelAt) {
        if (when / SimulationContext::s_stepMs * SimulationContext::s_stepMs == m_context.now())
            table.applySubmission(JobTable::cancelKey(id), "1");
    }
}

} // namespace plantainhold
