// The candidates against a plain search. The pattern: wide steps on a large fleet,
// where weighing each executor for each task takes the owner's processor.

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

TEST_CASE("candidates choose what a search of all executors would")
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
            std::optional<PlacementCandidates::Choice> wanted = bestByScan(executors.size(), evaluate);
            REQUIRE(found.has_value() == wanted.has_value());
            if (!found)
                break;
            REQUIRE(found->index == wanted->index);
            REQUIRE(found->cost == wanted->cost);
            --executors[found->index].freeCapacity;
            executors[found->index].cost += static_cast<double>(random() % 3);
            // Another one may become dearer too, as one that breaks up a rack.
            executors[random() % executors.size()].cost += static_cast<double>(random() % 2);
        }
    }
}

TEST_CASE("an executor is weighed once for a step, and again when it is chosen")
{
    std::vector<double> costs(500, 0);
    for (std::size_t i = 0; i < costs.size(); ++i)
        costs[i] = static_cast<double>(i);
    std::size_t weighed = 0;
    auto evaluate = [&](std::size_t i) -> std::optional<double> {
        ++weighed;
        return costs[i];
    };
    PlacementCandidates candidates;
    candidates.build(costs.size(), evaluate);
    for (int task = 0; task < 100; ++task)
        costs[candidates.best(evaluate)->index] += 1'000;
    CHECK(weighed <= costs.size() + 2 * 100);
}

} // namespace plantainhold
