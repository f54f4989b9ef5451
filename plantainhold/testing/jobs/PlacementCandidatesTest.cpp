// Compares PlacementCandidates with a linear search. It guards against evaluating each executor for
// each task of a wide step, which on a large fleet takes all of the owner's CPU time.

#include "plantainhold/jobs/PlacementCandidates.h"

#include <catch2/catch.hpp>
#include <random>

namespace plantainhold {

namespace {

    struct Executor {
        int freeCapacity = 0;
        double cost = 0;
    };

    std::optional<PlacementCandidates::Choice> bestByScan(std::size_t n, const PlacementCandidates::Evaluate& evaluate)
    {
        std::optional<PlacementCandidates::Choice> best;
        for (std::size_t i = 0; i < n; ++i) {
            std::optional<double> cost = evaluate(i);
            if (cost && (!best || *cost < best->cost))
                best = { i, *cost };
        }
        return best;
    }

} // namespace

TEST_CASE("candidates choose the same executor as a linear search")
{
    std::mt19937 random(3);
    for (int world = 0; world < 300; ++world) {
        std::vector<Executor> executors(1 + random() % 40);
        for (Executor& it : executors)
            it = { static_cast<int>(random() % 4), static_cast<double>(random() % 5) };
        auto evaluate = [&](std::size_t i) { return executors[i].freeCapacity > 0 ? std::optional<double>(executors[i].cost) : std::nullopt; };
        PlacementCandidates candidates;
        candidates.build(executors.size(), evaluate);
        for (;;) {
            std::optional<PlacementCandidates::Choice> found = candidates.best(evaluate);
            std::optional<PlacementCandidates::Choice> expected = bestByScan(executors.size(), evaluate);
            REQUIRE(found.has_value() == expected.has_value());
            if (!found)
                break;
            REQUIRE(found->index == expected->index);
            REQUIRE(found->cost == expected->cost);
            --executors[found->index].freeCapacity;
            executors[found->index].cost += static_cast<double>(random() % 3);
            // Another executor may become more expensive too, for example because a step now spans
            // two racks.
            executors[random() % executors.size()].cost += static_cast<double>(random() % 2);
        }
    }
}

TEST_CASE("an executor is evaluated once for a step, and again when it is chosen")
{
    std::vector<double> costs(500, 0);
    for (std::size_t i = 0; i < costs.size(); ++i)
        costs[i] = static_cast<double>(i);
    std::size_t evaluations = 0;
    auto evaluate = [&](std::size_t i) -> std::optional<double> {
        ++evaluations;
        return costs[i];
    };
    PlacementCandidates candidates;
    candidates.build(costs.size(), evaluate);
    for (int task = 0; task < 100; ++task)
        costs[candidates.best(evaluate)->index] += 1'000;
    CHECK(evaluations <= costs.size() + 2 * 100);
}

} // namespace plantainhold
