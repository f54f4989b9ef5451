// Tests that the speeds respect every budget and are optimal for a single service.

#include "plantainhold/policy/SpeedProblem.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <random>

namespace plantainhold {

namespace {

    constexpr std::uint32_t s_seed = 99;

    struct Case {
        std::vector<double> budgets;
        std::vector<double> values;
        // pressures[task][service]
        std::vector<std::vector<double>> pressures;
    };

    Case drawCase(std::mt19937& random, std::size_t services, std::size_t tasks)
    {
        std::uniform_real_distribution<double> share(0, 1);
        Case drawn;
        for (std::size_t i = 0; i < services; ++i)
            drawn.budgets.push_back(0.1 + share(random));
        for (std::size_t i = 0; i < tasks; ++i) {
            drawn.values.push_back(1 + 7 * share(random));
            drawn.pressures.emplace_back();
            for (std::size_t k = 0; k < services; ++k)
                drawn.pressures.back().push_back(share(random) < 0.3 ? 0 : share(random));
        }
        return drawn;
    }

    SpeedProblem problemOf(const Case& drawn)
    {
        SpeedProblem problem;
        for (double it : drawn.budgets)
            problem.addService(it);
        for (std::size_t i = 0; i < drawn.values.size(); ++i) {
            problem.addTask(drawn.values[i]);
            for (std::size_t k = 0; k < drawn.budgets.size(); ++k)
                problem.setPressure(i, k, drawn.pressures[i][k]);
        }
        return problem;
    }

    // Oracle for one service: exhaustive search over a grid of twenty speed steps per task.
    double bestOnGrid(const Case& drawn, std::size_t task, double budget)
    {
        if (budget < 0)
            return -1e9;
        if (task == drawn.values.size())
            return 0;
        constexpr int s_steps = 20;
        double best = -1e9;
        for (int step = 0; step <= s_steps; ++step) {
            double share = SpeedProblem::s_minShare + (1 - SpeedProblem::s_minShare) * step / s_steps;
            double rest = bestOnGrid(drawn, task + 1, budget - share * drawn.pressures[task][0]);
            best = std::max(best, share * drawn.values[task] + rest);
        }
        return best;
    }

} // namespace

TEST_CASE("for one service no combination of speeds on a grid is better")
{
    INFO("seed " << s_seed);
    std::mt19937 random(s_seed);
    for (int i = 0; i < 60; ++i) {
        Case drawn = drawCase(random, 1, 3);
        SpeedProblem problem = problemOf(drawn);
        double value = problem.solve();
        if (!problem.isInfeasible())
            REQUIRE(value >= bestOnGrid(drawn, 0, drawn.budgets[0]) - 1e-9);
    }
}

TEST_CASE("for several services every budget holds or the problem is reported infeasible")
{
    INFO("seed " << s_seed);
    std::mt19937 random(s_seed);
    for (int i = 0; i < 500; ++i) {
        Case drawn = drawCase(random, 1 + random() % 4, random() % 8);
        SpeedProblem problem = problemOf(drawn);
        problem.solve();
        bool isPossible = true;
        for (std::size_t k = 0; k < drawn.budgets.size(); ++k) {
            double pressure = 0;
            double least = 0;
            for (std::size_t task = 0; task < drawn.values.size(); ++task) {
                REQUIRE(problem.share(task) >= SpeedProblem::s_minShare);
                REQUIRE(problem.share(task) <= 1);
                pressure += problem.share(task) * drawn.pressures[task][k];
                least += SpeedProblem::s_minShare * drawn.pressures[task][k];
            }
            isPossible = isPossible && least <= drawn.budgets[k];
            REQUIRE(pressure <= std::max(least, drawn.budgets[k]) + 1e-9);
        }
        REQUIRE(problem.isInfeasible() == !isPossible);
    }
}

} // namespace plantainhold
