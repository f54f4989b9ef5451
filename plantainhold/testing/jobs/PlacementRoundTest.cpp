// Guards against examining every executor for each of thousands of tasks that wait for capacity on
// a full fleet.

#include "plantainhold/jobs/PlacementRound.h"
#include "plantainhold/jobs/ActiveJob.h"

#include <catch2/catch.hpp>
#include <memory>
#include <vector>

namespace plantainhold {

namespace {

    using Means = PlacementRound::Means;

    // Creates jobs of one step and one task, from the given step.
    class Waiting {
    public:
        ActiveTask& add(StepSpec step, std::int32_t priority = 0)
        {
            auto spec = std::make_shared<JobSpec>();
            step.taskCount = 1;
            spec->steps.push_back(std::move(step));
            ActiveJob& job = *m_jobs.emplace_back(std::make_unique<ActiveJob>());
            job.spec = spec;
            job.settings.service = "service";
            job.settings.priority = priority;
            return job.openOccurrence(0, {}).steps[0].tasks.openNext();
        }

    private:
        std::vector<std::unique_ptr<ActiveJob>> m_jobs;
    };

    StepSpec stepOf(std::int64_t millicores, std::int64_t memoryMib)
    {
        StepSpec step;
        step.resources = { millicores, memoryMib, 0 };
        return step;
    }

} // namespace

TEST_CASE("requests at least as large as a rejected one are rejected")
{
    Waiting waiting;
    PlacementRound round;
    round.reject(waiting.add(stepOf(2'000, 1'000)), Means::FreeCapacity);
    CHECK(round.isRejected(waiting.add(stepOf(2'000, 1'000)), Means::FreeCapacity));
    CHECK(round.isRejected(waiting.add(stepOf(3'000, 1'000)), Means::FreeCapacity));
    CHECK_FALSE(round.isRejected(waiting.add(stepOf(1'999, 1'000)), Means::FreeCapacity));
    CHECK_FALSE(round.isRejected(waiting.add(stepOf(9'000, 999)), Means::FreeCapacity));
    CHECK_FALSE(round.isRejected(waiting.add(stepOf(2'000, 1'000)), Means::Preemption));
    round.begin();
    CHECK_FALSE(round.isRejected(waiting.add(stepOf(2'000, 1'000)), Means::FreeCapacity));
}

// LOST: ordinary tasks waited for 20 s beside free executors, since best-effort tasks of less, which name no image,
// were rejected before them for the load of other best-effort tasks.
TEST_CASE("rejected best-effort requests without an image do not reject others")
{
    Waiting waiting;
    PlacementRound round;
    StepSpec bestEffort = stepOf(1'000, 100);
    bestEffort.usesLeftoverCpu = true;
    round.reject(waiting.add(bestEffort), Means::FreeCapacity);
    CHECK(round.isRejected(waiting.add(bestEffort), Means::FreeCapacity));
    CHECK_FALSE(round.isRejected(waiting.add(stepOf(2'000, 1'000)), Means::FreeCapacity));
}

TEST_CASE("requests on different terms are not compared")
{
    Waiting waiting;
    PlacementRound round;
    round.reject(waiting.add(stepOf(1'000, 1'000), 1), Means::Preemption);
    // A more urgent queue may preempt where this one may not.
    CHECK_FALSE(round.isRejected(waiting.add(stepOf(1'000, 1'000), 0), Means::Preemption));
    StepSpec labelled = stepOf(5'000, 5'000);
    labelled.requiredLabel = "a";
    round.reject(waiting.add(labelled, 1), Means::FreeCapacity);
    CHECK_FALSE(round.isRejected(waiting.add(labelled, 1), Means::FreeCapacity));
    CHECK_FALSE(round.isRejected(waiting.add(stepOf(5'000, 5'000), 1), Means::FreeCapacity));
    StepSpec longRunning = stepOf(1'000, 1'000);
    longRunning.isLongRunning = true;
    round.reject(waiting.add(longRunning, 1), Means::Preemption);
    ActiveTask& returning = waiting.add(longRunning, 1);
    returning.lastRun = 1;
    CHECK_FALSE(round.isRejected(returning, Means::Preemption));
}

TEST_CASE("best-effort tasks are compared within their image, by the millicores that they use")
{
    Waiting waiting;
    PlacementRound round;
    StepSpec bestEffort = stepOf(4'000, 1'000);
    bestEffort.usesLeftoverCpu = true;
    bestEffort.image = "interfering";
    round.reject(waiting.add(bestEffort), Means::FreeCapacity);
    CHECK(round.isRejected(waiting.add(bestEffort), Means::FreeCapacity));
    bestEffort.resources.millicores = 3'000;
    CHECK_FALSE(round.isRejected(waiting.add(bestEffort), Means::FreeCapacity));
    bestEffort.resources.millicores = 4'000;
    bestEffort.image = "harmless";
    CHECK_FALSE(round.isRejected(waiting.add(bestEffort), Means::FreeCapacity));
}

} // namespace plantainhold
