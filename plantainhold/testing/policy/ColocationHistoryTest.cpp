// Tests that samples are attributed to the tasks that ran when they were taken, at the
// speeds of that time.

#include "plantainhold/policy/ColocationHistory.h"

#include <catch2/catch.hpp>
#include <cmath>
#include <map>
#include <random>

namespace plantainhold {

namespace {

    constexpr TimePoint s_start { std::chrono::hours(1) };

    TimePoint at(std::int64_t seconds)
    {
        return s_start + std::chrono::seconds(seconds);
    }

} // namespace

TEST_CASE("a delayed sample is attributed to the tasks that ran when it was taken")
{
    ColocationHistory history;
    history.begin(0, 1, 10, 8, at(0));
    history.end(0, 1, at(30));
    history.begin(0, 2, 20, 4, at(30));
    // A sample taken at 25 s may arrive at 45 s. The first task caused it, although the second
    // task runs by then.
    auto then = history.taskUsages(0, at(20), at(25));
    REQUIRE(then.size() == 1);
    CHECK(then[0].serial == 1);
    CHECK(then[0].cores == Approx(8));
    auto between = history.taskUsages(0, at(25), at(35));
    REQUIRE(between.size() == 2);
    CHECK(between[0].cores == Approx(4));
    CHECK(between[1].cores == Approx(2));
}

TEST_CASE("the speed of a lost throttle command is corrected from a report")
{
    ColocationHistory history;
    history.begin(0, 1, 10, 10, at(0));
    history.setSpeed(0, 1, 20, at(10));
    CHECK(history.taskUsages(0, at(10), at(20))[0].cores == Approx(2));
    history.setSpeed(0, 1, 100, at(10));
    CHECK(history.taskUsages(0, at(10), at(20))[0].cores == Approx(10));
    CHECK(history.speedAt(0, 1, at(15)) == 100);
}

TEST_CASE("mean speeds equal a second-by-second sum")
{
    constexpr std::uint32_t s_seed = 42;
    INFO("seed " << s_seed);
    std::mt19937 random(s_seed);
    constexpr int s_seconds = 110;
    for (int round = 0; round < 100; ++round) {
        ColocationHistory history;
        // cores[serial][second]
        std::map<std::uint64_t, std::vector<double>> expected;
        std::map<std::uint64_t, double> speeds;
        std::map<std::uint64_t, int> lastChange;
        for (int second = 0; second < s_seconds; ++second) {
            std::uint64_t serial = 1 + random() % 6;
            bool runs = speeds.contains(serial) && speeds[serial] > 0;
            if (!expected.contains(serial)) {
                history.begin(0, serial, 7, 4, at(second));
                expected[serial] = std::vector<double>(s_seconds, 0.0);
                speeds[serial] = 4;
                lastChange[serial] = second;
            } else if (runs && lastChange[serial] < second && random() % 4 == 0) {
                history.end(0, serial, at(second));
                speeds[serial] = 0;
            } else if (runs && lastChange[serial] < second) {
                auto percent = static_cast<std::uint32_t>(1 + random() % 100);
                history.setSpeed(0, serial, percent, at(second));
                speeds[serial] = 0.04 * percent;
                lastChange[serial] = second;
            }
            for (auto& [one, speed] : speeds)
                expected[one][static_cast<std::size_t>(second)] = speed;
        }
        int from = static_cast<int>(random() % (s_seconds - 1));
        int to = from + 1 + static_cast<int>(random() % static_cast<unsigned>(s_seconds - from));
        to = std::min(to, s_seconds);
        std::map<std::uint64_t, double> found;
        for (const auto& it : history.taskUsages(0, at(from), at(to)))
            found[it.serial] = it.cores;
        for (const auto& [serial, cores] : expected) {
            double sum = 0;
            for (int second = from; second < to; ++second)
                sum += cores[static_cast<std::size_t>(second)];
            REQUIRE(found[serial] == Approx(sum / (to - from)).margin(1e-9));
        }
    }
}

TEST_CASE("tasks that ended before the retention are dropped and running tasks are kept")
{
    ColocationHistory history;
    history.begin(0, 1, 10, 8, at(0));
    history.begin(0, 2, 10, 8, at(0));
    history.setSpeed(0, 2, 50, at(5));
    history.end(0, 1, at(10));
    history.prune(0, at(500));
    CHECK(history.taskUsages(0, at(0), at(10)).size() == 1);
    CHECK(history.speedAt(0, 2, at(500)) == 50);
}

} // namespace plantainhold
