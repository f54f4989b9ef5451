// Tests HeadroomTrend under the load that it is for: latency-critical tasks whose load rises and
// falls within seconds, and whose reports are noisy.

#include "plantainhold/jobs/HeadroomTrend.h"

#include <catch2/catch.hpp>
#include <cmath>
#include <random>

namespace plantainhold {

namespace {

    constexpr std::chrono::milliseconds s_reportInterval { 300 };
    constexpr std::chrono::milliseconds s_horizon { 500 };
    constexpr double s_noise = 0.12;
    constexpr double s_mean = 2.5;
    constexpr double s_amplitude = 0.95;
    // Radians per second: a period of 10 s.
    constexpr double s_rate = 0.628;

    double trueHeadroom(TimePoint when)
    {
        return s_mean + s_amplitude * std::sin(std::chrono::duration<double>(when.time_since_epoch()).count() * s_rate);
    }

    // Returns the root mean square error of predictions, relative to that of the newest sample
    // alone, when so many tasks report in turn.
    double relativeError(int tasks)
    {
        std::mt19937_64 random(7);
        std::normal_distribution<double> noise(0, s_noise);
        HeadroomTrend trend;
        double error = 0;
        double sampleError = 0;
        TimePoint now { std::chrono::hours(1) };
        constexpr int s_warmUp = 50;
        constexpr int s_rounds = 2'000;
        for (int i = 0; i < s_warmUp + s_rounds; ++i) {
            now += s_reportInterval / tasks;
            trend.advance(now, s_mean);
            double sample = trueHeadroom(now) * (1 + noise(random));
            trend.correct(sample - trend.level(), trend.variance() + s_noise * sample * s_noise * sample);
            if (i < s_warmUp)
                continue;
            error += std::pow(trend.expectedAt(now + s_horizon) - trueHeadroom(now + s_horizon), 2);
            sampleError += std::pow(sample - trueHeadroom(now + s_horizon), 2);
        }
        return std::sqrt(error / sampleError);
    }

} // namespace

TEST_CASE("a headroom that swings is predicted better than its newest sample says")
{
    CHECK(relativeError(1) < 1);
}

TEST_CASE("tasks that share their load sharpen each other's prediction")
{
    CHECK(relativeError(6) < 0.75 * relativeError(1));
}

TEST_CASE("a bound lies further below the expected headroom when less is known")
{
    HeadroomTrend trend;
    TimePoint now { std::chrono::hours(1) };
    trend.advance(now, s_mean);
    double unknown = trend.expectedAt(now) - trend.lowerBoundAt(now);
    for (int i = 0; i < 20; ++i) {
        now += s_reportInterval;
        trend.advance(now, s_mean);
        trend.correct(s_mean - trend.level(), trend.variance() + s_noise);
    }
    CHECK(trend.expectedAt(now) - trend.lowerBoundAt(now) < unknown);
    CHECK(trend.lowerBoundAt(now) < trend.expectedAt(now));
}

TEST_CASE("after a long gap the trend starts anew, and an earlier time changes nothing")
{
    HeadroomTrend trend;
    TimePoint now { std::chrono::hours(1) };
    trend.advance(now, s_mean);
    trend.correct(-2, trend.variance() + s_noise);
    double low = trend.level();
    trend.advance(now - std::chrono::seconds(5), s_mean);
    CHECK(trend.level() == low);
    trend.advance(now + std::chrono::seconds(10), s_mean);
    CHECK(trend.level() > low);
}

TEST_CASE("a pressure that never ends is not taken for the step's own load for good")
{
    HeadroomTrend trend;
    TimePoint now { std::chrono::hours(1) };
    trend.advance(now, s_mean);
    double last = 0;
    constexpr double s_pressed = 1;
    for (int i = 0; i < 200; ++i) {
        now += s_reportInterval;
        trend.advance(now, s_mean);
        last = s_pressed - trend.level();
        trend.correct(last, trend.variance() + s_noise);
    }
    // A difference remains, which the effects of neighbours have to explain.
    CHECK(last < 0);
}

} // namespace plantainhold
