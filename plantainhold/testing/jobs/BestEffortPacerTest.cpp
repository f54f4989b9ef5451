// Tests BestEffortPacer in a model in which only a few pairs of images interfere, as on the users'
// executors: tasks that interfere must be identified and slowed down, and all others must not.

#include "plantainhold/jobs/BestEffortPacer.h"
#include "plantainhold/jobs/ActiveExecutor.h"
#include "plantainhold/jobs/ActiveJob.h"

#include <catch2/catch.hpp>
#include <cmath>
#include <map>
#include <memory>
#include <random>

namespace plantainhold {

namespace {

    // Time between two reports.
    constexpr Milliseconds s_reportEvery { 300 };
    // An executor reports figures of this last span of time.
    constexpr Milliseconds s_measuredSpan { 500 };
    constexpr double s_target = 18;
    constexpr double s_idleTail = 4;
    constexpr double s_load = 0.43;
    // Fraction of the latency-critical task's capacity that one core of the interfering task takes.
    constexpr double s_utilizationPerCore = 0.06;
    // The same in units of headroom, target / tail.
    constexpr double s_effect = s_utilizationPerCore * s_target / s_idleTail;
    constexpr double s_fullLoad = 0.97;
    // Radians per second: a period of 10 s.
    constexpr double s_swingRate = 0.628;

    class SimulatedExecutor {
    public:
        SimulatedExecutor()
            : m_pacer(m_limits)
        {
        }

        ActiveRun* add(const std::string& image, std::int64_t millicores, bool isLatencyCritical)
        {
            auto spec = std::make_shared<JobSpec>();
            StepSpec& step = spec->steps.emplace_back();
            step.taskCount = 1;
            step.image = image;
            step.resources.millicores = millicores;
            step.isLongRunning = isLatencyCritical;
            step.targetTailMs = isLatencyCritical ? s_target : 0;
            step.usesLeftoverCpu = !isLatencyCritical;
            auto job = std::make_unique<ActiveJob>();
            job->id = std::to_string(m_jobs.size());
            job->spec = spec;
            ActiveTask& task = job->openOccurrence(0, m_now).steps[0].tasks.openNext();
            task.run = std::make_unique<ActiveRun>();
            task.run->task = &task;
            task.run->executor = &m_executor;
            task.run->phase = RunPhase::Running;
            task.run->percent = 100;
            m_executor.runs.push_back(task.run.get());
            m_jobs.push_back(std::move(job));
            return m_executor.runs.back();
        }

        // Simulates the time between two reports, then reports the noisy tails.
        void report()
        {
            m_now += s_reportEvery;
            std::normal_distribution<double> noise(0, 0.1);
            for (ActiveRun* it : m_executor.runs) {
                if (!it->task->step->spec->isLatencyCritical())
                    it->measurement = static_cast<double>(it->task->step->spec->resources.millicores) * it->sentPace / 100;
            }
            for (ActiveRun* it : m_executor.runs) {
                if (!it->task->step->spec->isLatencyCritical())
                    continue;
                double pressure = 0;
                double& trueTail = m_trueTails[it];
                for (ActiveRun* other : m_executor.runs)
                    pressure += other->phase == RunPhase::Running && other->task->step->spec->image == "heavy" && it->task->step->spec->image == "sensitive" ? s_utilizationPerCore * other->measurement / 1'000 : 0;
                // Tail latency grows as in a queue.
                trueTail = s_idleTail / (1 - std::min(s_fullLoad, loadAt(m_now) + pressure));
                double meanTail = s_idleTail / (1 - std::min(s_fullLoad, loadAt(m_now - s_measuredSpan / 2) + pressure));
                it->measurement = std::max(1.0, std::round(meanTail * std::exp(noise(m_random))));
            }
            m_pacer.updatePaces(m_executor, m_now);
            for (ActiveRun* it : m_executor.runs)
                it->sentPace = it->targetPace;
        }

        // Returns the tail without measurement noise.
        double trueTail(const ActiveRun* run) const { return m_trueTails.at(run); }
        // Lets the own load of the latency-critical tasks oscillate with this amplitude.
        void setSwing(double swing) { m_swing = swing; }
        BestEffortPacer& pacer() { return m_pacer; }
        ActiveExecutor& state() { return m_executor; }

    private:
        double loadAt(TimePoint when) const { return s_load + m_swing * std::sin(std::chrono::duration<double>(when.time_since_epoch()).count() * s_swingRate); }

        SchedulerLimits m_limits;
        BestEffortPacer m_pacer;
        ActiveExecutor m_executor;
        std::vector<std::unique_ptr<ActiveJob>> m_jobs;
        std::map<const ActiveRun*, double> m_trueTails;
        double m_swing = 0;
        std::mt19937_64 m_random { 5 };
        TimePoint m_now { std::chrono::hours(1) };
    };

    // Returns the pace of a best-effort task that does not interfere, after a number of reports in
    // which the latency-critical task beside it shows the given tails.
    template <typename TailOf>
    std::uint32_t paceAfter(int reports, TailOf tailOf)
    {
        SimulatedExecutor executor;
        ActiveRun* sensitive = executor.add("sensitive", 6'000, true);
        ActiveRun* light = executor.add("light", 9'000, false);
        SchedulerLimits limits;
        BestEffortPacer pacer(limits);
        TimePoint now { std::chrono::hours(2) };
        for (int i = 0; i < reports; ++i) {
            sensitive->measurement = tailOf(i);
            light->measurement = 9'000;
            now += s_reportEvery;
            pacer.updatePaces(executor.state(), now);
            light->sentPace = light->targetPace;
        }
        return light->sentPace;
    }

} // namespace

TEST_CASE("only the task that interferes is slowed down")
{
    SimulatedExecutor executor;
    ActiveRun* sensitive = executor.add("sensitive", 6'000, true);
    executor.add("robust", 6'000, true);
    ActiveRun* heavy = executor.add("heavy", 9'000, false);
    ActiveRun* light = executor.add("light", 9'000, false);
    double heavyPace = 0;
    double lightPace = 0;
    int missed = 0;
    constexpr int s_warmUp = 60;
    constexpr int s_rounds = 200;
    for (int i = 0; i < s_warmUp + s_rounds; ++i) {
        executor.report();
        if (i < s_warmUp)
            continue;
        heavyPace += heavy->sentPace;
        lightPace += light->sentPace;
        missed += executor.trueTail(sensitive) > s_target;
    }
    CHECK(lightPace / s_rounds > 90);
    CHECK(heavyPace / s_rounds < 70);
    CHECK(heavyPace / s_rounds > 15);
    CHECK(missed < s_rounds / 10);
}

TEST_CASE("an interfering task runs fast at low load of its neighbour and slows down at its peaks")
{
    SimulatedExecutor executor;
    executor.setSwing(0.22);
    ActiveRun* sensitive = executor.add("sensitive", 6'000, true);
    ActiveRun* heavy = executor.add("heavy", 6'000, false);
    constexpr int s_warmUp = 100;
    constexpr int s_rounds = 400;
    double pace = 0;
    int missed = 0;
    for (int i = 0; i < s_warmUp + s_rounds; ++i) {
        executor.report();
        if (i < s_warmUp)
            continue;
        pace += heavy->sentPace;
        missed += executor.trueTail(sensitive) > s_target;
    }
    // At full pace all the time, more than a third would be missed; a neighbour that is always at
    // its peak would leave a quarter of the pace.
    CHECK(missed < s_rounds / 7);
    CHECK(pace / s_rounds > 60);
}

TEST_CASE("effects learned on one executor predict the pressure on others")
{
    SimulatedExecutor executor;
    executor.add("sensitive", 6'000, true);
    executor.add("heavy", 9'000, false);
    ActiveRun* light = executor.add("light", 9'000, false);
    for (int i = 0; i < 160; ++i) {
        // Tasks start and stop, which makes their effects distinguishable.
        light->phase = i % 8 < 4 ? RunPhase::Running : RunPhase::Starting;
        executor.report();
    }
    StepSpec heavy;
    heavy.image = "heavy";
    heavy.resources.millicores = 9'000;
    heavy.usesLeftoverCpu = true;
    StepSpec lightSpec = heavy;
    lightSpec.image = "light";
    CHECK(executor.pacer().pressureOn(executor.state(), executor.pacer().loadOf(heavy)).excess > 0.3);
    CHECK(executor.pacer().pressureOn(executor.state(), executor.pacer().loadOf(lightSpec)).excess < 0.05);
}

TEST_CASE("a target missed for an unknown cause stops all best-effort tasks within the limit")
{
    SchedulerLimits limits;
    auto reports = static_cast<int>(limits.interferenceLimit * 3 / 4 / s_reportEvery);
    CHECK(paceAfter(reports, [](int) { return 3 * s_target; }) == 0);
}

TEST_CASE("a measurement just below the target by chance does not restart the miss")
{
    CHECK(paceAfter(7, [](int i) { return (i % 2 ? 0.93 : 1.25) * s_target; }) == 0);
}

TEST_CASE("learned effects are handed over to the next owner")
{
    SimulatedExecutor executor;
    executor.add("sensitive", 6'000, true);
    ActiveRun* heavy = executor.add("heavy", 9'000, false);
    for (int i = 0; i < 160; ++i) {
        heavy->phase = i % 8 < 4 ? RunPhase::Running : RunPhase::Starting;
        executor.report();
    }
    std::optional<LearnedState> handed = decodeLearned(encodeLearned({ executor.pacer().learned(), {} }, SchedulerLimits().maxRecordBytes));
    REQUIRE(handed);
    REQUIRE(handed->effects.size() == 1);
    InterferenceTable next;
    next.restore(handed->effects);
    double effect = next.effect(next.idOf("sensitive"), next.idOf("heavy")).mean;
    CHECK(effect > 0.8 * s_effect);
    CHECK(effect < 1.2 * s_effect);
}

TEST_CASE("a miss is counted from the report before the one that shows it")
{
    // The miss may have begun just after that report.
    SimulatedExecutor executor;
    ActiveRun* sensitive = executor.add("sensitive", 6'000, true);
    ActiveRun* light = executor.add("light", 9'000, false);
    SchedulerLimits limits;
    TimePoint now { std::chrono::hours(2) };
    BestEffortPacer pacer(limits);
    constexpr Milliseconds s_interval { 1'300 };
    sensitive->measurement = 0.5 * s_target;
    light->measurement = 9'000;
    pacer.updatePaces(executor.state(), now);
    light->sentPace = light->targetPace;
    TimePoint stopBy = now + limits.interferenceLimit - Milliseconds(500);
    while (now + s_interval <= stopBy) {
        now += s_interval;
        sensitive->measurement = 1.2 * s_target;
        pacer.updatePaces(executor.state(), now);
        light->sentPace = light->targetPace;
    }
    CHECK(light->sentPace == 0);
}

TEST_CASE("nothing is placed where a target is missed for so long that all paces are limited, whatever is believed of its image")
{
    SchedulerLimits limits;
    BestEffortPacer pacer(limits);
    pacer.restore(std::vector<LearnedEffect> { { "sensitive", "light", { 0, 0 } } });
    SimulatedExecutor executor;
    ActiveRun* sensitive = executor.add("sensitive", 6'000, true);
    BestEffortPacer::Load light { pacer.loadOf(*executor.add("light", 9'000, false)->task->step->spec) };
    TimePoint now { std::chrono::hours(2) };
    auto excessAfter = [&](Milliseconds time, double tail) {
        for (Milliseconds passed { 0 }; passed < time; passed += s_reportEvery) {
            sensitive->measurement = tail;
            now += s_reportEvery;
            pacer.updatePaces(executor.state(), now);
        }
        return pacer.pressureOn(executor.state(), light).excess;
    };
    CHECK(excessAfter(Milliseconds(3'000), s_target / 3) == 0);
    CHECK(excessAfter(Milliseconds(1'200), s_target * 3) > 0);
    CHECK(excessAfter(Milliseconds(300), s_target / 3) == 0);
}

} // namespace plantainhold
