// The stand-in of the platform's store must hold what the instances rely on.

#include "standin/soak/StoreState.h"
#include "standin/soak/SoakRandom.h"

#include <catch2/catch.hpp>

namespace plantainhold::soak {

namespace {

    constexpr Milliseconds s_ttl { 1'000 };

    std::string recordOf(const std::string& key, const std::string& value)
    {
        return std::string(1, static_cast<char>(key.size())) + key + value;
    }

} // namespace

TEST_CASE("a repeated append is applied once and receives its first response")
{
    StorePartition partition;
    AppendOutcome first = partition.append({ recordOf("k", "1") }, AppendStamp { "owner", 1, 7 });
    AppendOutcome again = partition.append({ recordOf("k", "1") }, AppendStamp { "owner", 1, 7 });
    CHECK(first.status == AppendStatus::Stored);
    CHECK(again.endOffset == first.endOffset);
    CHECK(partition.records().size() == 1);
    AppendOutcome gap = partition.append({ recordOf("k", "2") }, AppendStamp { "owner", 1, 9 });
    CHECK(gap.status == AppendStatus::OutOfSequence);
    CHECK(gap.expectedSequence == 8);
}

TEST_CASE("a writer of a former epoch is fenced, also by an append without records")
{
    StorePartition partition;
    partition.append({}, AppendStamp { "owner", 2, 0 });
    CHECK(partition.append({ recordOf("k", "1") }, AppendStamp { "owner", 1, 1 }).status == AppendStatus::Fenced);
    CHECK(partition.append({ recordOf("k", "1") }, AppendStamp { "owner", 2, 1 }).status == AppendStatus::Stored);
    CHECK(partition.newest().at("k").value == "1");
    partition.append({ recordOf("k", "") }, std::nullopt);
    CHECK(partition.newest().empty());
}

TEST_CASE("each partition of a group has one holder, whoever joins, leaves, expires or is rebalanced away")
{
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        INFO("seed " << seed);
        SoakRandom random(seed, 1);
        StoreGroup group(1, random);
        TimePoint now {};
        std::map<std::uint64_t, std::string> holderByGeneration;
        std::map<std::string, std::uint64_t> generations;
        for (int i = 0; i < 400; ++i) {
            now += random.between(Milliseconds(0), Milliseconds(400));
            std::string member = "m-" + std::to_string(random.below(4));
            if (random.chance(0.1)) {
                group.leave(member);
                generations[member] = 0;
            } else if (random.chance(0.05)) {
                group.rebalance();
            } else {
                JoinOutcome outcome = group.join(member, { "owners" }, s_ttl, generations[member], now);
                generations[member] = outcome.generation;
                REQUIRE(outcome.holdings.size() <= 1);
                if (outcome.holdings.empty())
                    continue;
                // Two members that hold a partition in one generation would share their tokens.
                auto [it, isNew] = holderByGeneration.try_emplace(outcome.generation, member);
                CHECK(it->second == member);
                CHECK(group.holderIn(outcome.generation) == member);
            }
            CHECK(group.holdings().size() <= 1);
        }
    }
}

} // namespace plantainhold::soak
