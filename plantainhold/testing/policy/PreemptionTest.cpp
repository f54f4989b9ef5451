// Tests that preemption evicts no more tasks than necessary, and only tasks that the urgent
// task outranks.

#include "plantainhold/policy/Preemption.h"
#include "plantainhold/policy/EvictionCost.h"
#include "plantainhold/policy/Fleet.h"
#include "plantainhold/policy/KindStatistics.h"
#include "plantainhold/policy/PolicyTask.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <limits>
#include <random>

namespace plantainhold {

namespace {

    constexpr std::uint32_t s_seed = 23;
    constexpr TimePoint s_start { std::chrono::hours(1) };

    // Oracle: the cost of the cheapest sufficient subset, by exhaustive search.
    double cheapest(const std::vector<PolicyTask*>& candidates, const Resources& available, const Resources& demand, const EvictionCost& cost)
    {
        double best = std::numeric_limits<double>::infinity();
        for (unsigned subset = 0; subset < (1U << candidates.size()); ++subset) {
            Resources freed = available;
            double sum = 0;
            for (std::size_t i = 0; i < candidates.size(); ++i) {
                if (!(subset >> i & 1U))
                    continue;
                freed += candidates[i]->reserved;
                sum += cost.of(*candidates[i], s_start + Milliseconds(60'000));
            }
            if (demand.fitsIn(freed))
                best = std::min(best, sum);
        }
        return best;
    }

} // namespace

TEST_CASE("victims are sufficient and minimal, and are found whenever a solution exists")
{
    INFO("seed " << s_seed);
    std::mt19937 random(s_seed);
    KindStatistics statistics;
    EvictionCost cost(statistics);
    double ours = 0;
    double best = 0;
    for (int round = 0; round < 300; ++round) {
        Fleet fleet;
        WorkerSlot slot = fleet.observe({ "worker", "rack", { 16000, 16000, 2 }, false });
        std::deque<PolicyTask> tasks;
        std::vector<PolicyTask*> candidates;
        while (tasks.size() < 7) {
            PolicyTask& task = tasks.emplace_back();
            task.attempt = 1;
            task.isService = random() % 5 == 0;
            task.isUrgent = random() % 5 == 0;
            task.priority = static_cast<Priority>(random() % 4);
            task.startedAt = s_start;
            Resources size { static_cast<std::int64_t>(500 * (1 + random() % 6)), static_cast<std::int64_t>(500 * (1 + random() % 6)), random() % 4 == 0 };
            if (!size.fitsIn(fleet.worker(slot).freeCapacity()))
                continue;
            task.busyCores = static_cast<double>(size.millicores) / 1000;
            fleet.reserve(task, slot, size);
            if (!task.isService && !task.isUrgent)
                candidates.push_back(&task);
        }
        PolicyTask urgent;
        urgent.isUrgent = true;
        Resources demand { static_cast<std::int64_t>(500 * (1 + random() % 24)), static_cast<std::int64_t>(500 * (1 + random() % 24)), random() % 3 == 0 };
        VictimSelection choice = selectVictims(fleet.worker(slot), urgent, demand, cost, s_start + Milliseconds(60'000));
        double oracle = cheapest(candidates, fleet.worker(slot).freeCapacity(), demand, cost);
        REQUIRE(choice.isPossible == (oracle < std::numeric_limits<double>::infinity()));
        if (!choice.isPossible)
            continue;
        Resources available = fleet.worker(slot).freeCapacity();
        for (const PolicyTask* it : choice.victims) {
            REQUIRE(outranks(urgent, *it));
            available += it->reserved;
        }
        REQUIRE(demand.fitsIn(available));
        for (const PolicyTask* it : choice.victims)
            REQUIRE_FALSE(demand.fitsIn(available - it->reserved));
        REQUIRE(choice.cost >= oracle - 1e-9);
        ours += choice.cost;
        best += oracle;
    }
    // The greedy selection is not optimal, but close to the optimum over many rounds.
    CHECK(ours <= 1.5 * best);
}

TEST_CASE("a service outranks only batch tasks of lower priority")
{
    PolicyTask service;
    service.isService = true;
    service.priority = Priority::High;
    PolicyTask batch;
    batch.priority = Priority::Low;
    CHECK(outranks(service, batch));
    batch.priority = Priority::High;
    CHECK_FALSE(outranks(service, batch));
    CHECK_FALSE(outranks(batch, service));
}

} // namespace plantainhold
