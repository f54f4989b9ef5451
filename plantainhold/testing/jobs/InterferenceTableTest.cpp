// Tests InterferenceTable against what a crowd of filling tasks does: it drives some tasks of a step far beyond
// their targets, and comes and goes with the beliefs that it causes.

#include "plantainhold/jobs/InterferenceTable.h"
#include "plantainhold/jobs/HeadroomTrend.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <vector>

namespace plantainhold {

namespace {

    constexpr double s_target = 18;
    // Headroom without neighbours, and what one core of the image that presses takes of it.
    constexpr double s_ownHeadroom = 2.4;
    constexpr double s_effect = 0.2;
    // Of an overloaded task; the tail does not show how far.
    constexpr double s_leastHeadroom = 0.07;
    constexpr Milliseconds s_reportEvery { 200 };

    // Tasks of one step on as many executors, each with some cores of one filling image beside it.
    class Step {
    public:
        // Each task's tail is what the cores of the report before make of it: it covers the time before.
        void report(const std::vector<double>& cores)
        {
            m_now += s_reportEvery;
            m_before.resize(cores.size());
            for (std::size_t i = 0; i < cores.size(); ++i) {
                double headroom = std::max(s_leastHeadroom, s_ownHeadroom - s_effect * m_before[i]);
                std::vector<InterferenceTable::Neighbour> neighbours;
                if (cores[i] > 0)
                    neighbours.push_back({ m_filling, cores[i] });
                m_table.learn(m_serving, m_trend, { s_target / headroom, s_target, m_now }, neighbours);
            }
            m_before = cores;
        }

        void reportFor(Milliseconds time, const std::vector<double>& cores)
        {
            for (Milliseconds passed { 0 }; passed < time; passed += s_reportEvery)
                report(cores);
        }

        double effect() const { return m_table.effect(m_serving, m_filling).mean; }
        double level() const { return m_trend.level(); }
        void forgetEffect() { m_table.restore(std::vector<LearnedEffect> { { "serving", "filling", { 0, 0 } } }); }

    private:
        InterferenceTable m_table;
        HeadroomTrend m_trend;
        std::vector<double> m_before;
        TimePoint m_now { std::chrono::hours(1) };
        InterferenceTable::ImageId m_serving = m_table.idOf("serving");
        InterferenceTable::ImageId m_filling = m_table.idOf("filling");
    };

} // namespace

TEST_CASE("an effect believed to be zero is corrected by a crowd of filling tasks beside half of a step")
{
    Step step;
    step.reportFor(Milliseconds(3'000), { 0, 0, 0, 0 });
    step.forgetEffect();
    step.reportFor(Milliseconds(2'000), { 14, 14, 0, 0 });
    CHECK(step.effect() > s_effect / 2);
    CHECK(step.level() > 2);
}

TEST_CASE("a crowd that is moved away every 600 ms and comes back does not pass for the step's own load")
{
    Step step;
    step.reportFor(Milliseconds(3'000), { 0, 0, 0, 0 });
    step.forgetEffect();
    for (int i = 0; i < 10; ++i) {
        step.reportFor(Milliseconds(600), { 14, 14, 0, 0 });
        step.reportFor(Milliseconds(600), { 0, 0, 14, 14 });
    }
    CHECK(step.effect() > s_effect / 3);
    CHECK(step.level() > 1.8);
}

TEST_CASE("a step that misses its target by its own load still teaches its trend once nothing works beside it")
{
    Step step;
    step.reportFor(Milliseconds(3'000), { 9, 9 });
    CHECK(step.effect() < 2 * s_effect);
    step.reportFor(Milliseconds(3'000), { 0, 0 });
    CHECK(step.level() > 2);
}

} // namespace plantainhold
