// Tests the order of steps under several patterns of load.

#include "plantainhold/jobs/JobPrioritizer.h"
#include "plantainhold/jobs/ActiveJob.h"

#include <catch2/catch.hpp>
#include <memory>

namespace plantainhold {

namespace {

    constexpr TimePoint s_start { std::chrono::hours(1) };

    class Jobs {
    public:
        ActiveStep* add(std::int32_t priority, std::uint32_t estimateMs, Milliseconds age, bool isLongRunning = false)
        {
            auto spec = std::make_shared<JobSpec>();
            spec->queue = "q" + std::to_string(priority);
            StepSpec& step = spec->steps.emplace_back();
            step.taskCount = 2;
            step.estimateMs = estimateMs;
            step.isLongRunning = isLongRunning;
            auto job = std::make_unique<ActiveJob>();
            job->id = std::to_string(m_jobs.size());
            job->spec = spec;
            job->computeCriticalPath();
            job->settings.priority = priority;
            job->settings.deadlineFactor = 2;
            job->settings.targetLatencyMs = 250;
            job->serial = m_jobs.size();
            job->firstSeenAt = s_start - age;
            job->openOccurrence(0, s_start);
            m_jobs.push_back(std::move(job));
            return &m_jobs.back()->occurrences[0].steps[0];
        }

    private:
        std::vector<std::unique_ptr<ActiveJob>> m_jobs;
    };

    std::vector<ActiveStep*> sorted(std::vector<ActiveStep*> steps)
    {
        JobPrioritizer().sort(steps, s_start);
        return steps;
    }

} // namespace

TEST_CASE("priority takes precedence over everything else")
{
    Jobs jobs;
    ActiveStep* batch = jobs.add(2, 1'000, Milliseconds(0));
    ActiveStep* urgent = jobs.add(0, 1'000, Milliseconds(60'000));
    CHECK(sorted({ batch, urgent }) == std::vector<ActiveStep*> { urgent, batch });
}

TEST_CASE("under overload, jobs that can still meet their objective precede those that cannot")
{
    Jobs jobs;
    ActiveStep* unreachable = jobs.add(2, 1'000, Milliseconds(20'000));
    ActiveStep* late = jobs.add(2, 1'000, Milliseconds(4'000));
    ActiveStep* waiting = jobs.add(2, 1'000, Milliseconds(900));
    ActiveStep* fresh = jobs.add(2, 1'000, Milliseconds(10));
    CHECK(sorted({ unreachable, late, waiting, fresh }) == std::vector<ActiveStep*> { fresh, waiting, late, unreachable });
}

TEST_CASE("started jobs precede new ones")
{
    Jobs jobs;
    ActiveStep* fresh = jobs.add(2, 1'000, Milliseconds(10));
    ActiveStep* started = jobs.add(2, 1'000, Milliseconds(500));
    started->job().wasPlaced = true;
    CHECK(sorted({ fresh, started }) == std::vector<ActiveStep*> { started, fresh });
}

TEST_CASE("a long-running task that ran before comes first, a new one after short tasks")
{
    Jobs jobs;
    ActiveStep* newcomer = jobs.add(0, 500, Milliseconds(0), true);
    ActiveStep* quote = jobs.add(0, 500, Milliseconds(0));
    ActiveStep* returning = jobs.add(0, 500, Milliseconds(0), true);
    returning->tasks.openNext();
    returning->tasks.openNext().lastRun = 1;
    CHECK(sorted({ newcomer, quote, returning }) == std::vector<ActiveStep*> { returning, quote, newcomer });
}

TEST_CASE("estimates that are always too low are corrected by measured durations")
{
    JobPrioritizer prioritizer;
    Jobs jobs;
    const ActiveJob& job = jobs.add(0, 1'000, Milliseconds(0))->job();
    CHECK(prioritizer.objectiveOf(job) == s_start + Milliseconds(2'250));
    for (int i = 0; i < 200; ++i)
        prioritizer.learn("q0", 1'000, Milliseconds(1'600));
    CHECK(prioritizer.objectiveOf(job) > s_start + Milliseconds(3'400));
    CHECK(prioritizer.objectiveOf(job) < s_start + Milliseconds(3'500));
}

} // namespace plantainhold
