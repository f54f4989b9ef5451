// Tests that the index finds the same workers as a linear scan.

#include "plantainhold/policy/WorkerIndex.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <random>

namespace plantainhold {

TEST_CASE("the index finds exactly the workers that a linear scan finds")
{
    constexpr std::uint32_t s_seed = 20261204;
    INFO("seed " << s_seed);
    std::mt19937 random(s_seed);
    auto amount = [&](std::int64_t most) { return std::uniform_int_distribution<std::int64_t>(-1, most)(random); };
    for (int round = 0; round < 200; ++round) {
        WorkerIndex index;
        std::vector<Resources> capacities;
        auto n = static_cast<std::size_t>(amount(70) + 1);
        for (std::size_t i = 0; i < 3 * n; ++i) {
            std::size_t slot = i < n ? i : random() % n;
            capacities.resize(std::max(capacities.size(), slot + 1));
            capacities[slot] = { amount(8), amount(8), amount(2) };
            index.set(static_cast<WorkerSlot>(slot), capacities[slot]);
        }
        for (int i = 0; i < 20; ++i) {
            Resources demand { amount(8), amount(8), amount(2) };
            std::vector<WorkerSlot> expected;
            for (std::size_t slot = 0; slot < capacities.size(); ++slot) {
                if (demand.fitsIn(capacities[slot]))
                    expected.push_back(static_cast<WorkerSlot>(slot));
            }
            std::vector<WorkerSlot> found;
            index.collect(demand, static_cast<WorkerSlot>(random()), capacities.size() + 1, found);
            std::sort(found.begin(), found.end());
            REQUIRE(found == expected);
            index.collect(demand, static_cast<WorkerSlot>(random()), 3, found);
            REQUIRE(found.size() == std::min<std::size_t>(3, expected.size()));
        }
    }
}

} // namespace plantainhold
