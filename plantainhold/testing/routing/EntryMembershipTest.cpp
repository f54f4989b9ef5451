// Tests that the shares of all instances that receive the list never add up to
// more than the slots, although instances see versions of the list at different
// times.

#include "plantainhold/routing/EntryMembership.h"
#include "plantainhold/routing/SlotPartition.h"

#include <catch2/catch.hpp>
#include <numeric>
#include <random>

namespace plantainhold {

namespace {

    constexpr std::uint32_t s_slots = 8;
    const std::vector<std::string> s_names { "a", "b", "c", "d", "e" };
    constexpr Milliseconds s_tick { 1 };

    std::vector<std::string> subset(unsigned mask)
    {
        std::vector<std::string> names;
        for (std::size_t i = 0; i < s_names.size(); ++i) {
            if (mask >> i & 1)
                names.push_back(s_names[i]);
        }
        return names;
    }

    struct Change {
        int at;
        unsigned mask;
    };

    // Applies the changes to `instances` instances; lag(i, version) is the delay in
    // ticks until instance i sees a version. Returns the largest sum of shares.
    template <typename Lag>
    std::uint32_t largestSum(std::span<const Change> changes, std::size_t instances, int hold, int until, Lag lag)
    {
        std::vector<EntryMembership> all;
        for (std::size_t i = 0; i < instances; ++i)
            all.emplace_back(s_names[i], Milliseconds(hold));
        std::vector<std::size_t> seen(instances, 0);
        std::uint32_t largest = 0;
        for (int tick = 0; tick < until; ++tick) {
            TimePoint now = TimePoint {} + tick * s_tick;
            std::uint32_t sum = 0;
            for (std::size_t i = 0; i < instances; ++i) {
                // A version is skipped if a newer one is already visible.
                for (std::size_t v = changes.size(); v > seen[i]; --v) {
                    if (changes[v - 1].at + lag(i, v - 1) > tick)
                        continue;
                    all[i].updateEntries(subset(changes[v - 1].mask), now);
                    seen[i] = v;
                    break;
                }
                all[i].settle(now);
                sum += all[i].share("executor", s_slots);
            }
            largest = std::max(largest, sum);
        }
        return largest;
    }

    // Three versions with every combination of members, three gaps between them,
    // and every seventh combination of lags of 0 or 2 ticks.
    std::uint32_t largestSumOfAll(int hold)
    {
        constexpr unsigned s_masks = 8;
        constexpr unsigned s_lags = 1 << 9;
        std::uint32_t largest = 0;
        for (unsigned masks = 0; masks < s_masks * s_masks; ++masks) {
            // Version 0 lasts long enough for all to settle on it.
            for (int gap : { 1, 2, 5 }) {
                const std::array<Change, 3> changes { Change { 0, 7 }, Change { 8, masks % s_masks }, Change { 8 + gap, masks / s_masks } };
                for (unsigned lags = 0; lags < s_lags; lags += 7) {
                    auto lag = [lags](std::size_t i, std::size_t v) { return lags >> (i * 3 + v) & 1 ? 2 : 0; };
                    largest = std::max(largest, largestSum(changes, 3, hold, 22, lag));
                }
            }
        }
        return largest;
    }

} // namespace

TEST_CASE("a partition distributes exactly all slots evenly")
{
    for (unsigned mask = 1; mask < 32; ++mask) {
        std::vector<std::string> members = subset(mask);
        for (std::uint32_t slots : { 0u, 1u, 3u, 8u, 13u }) {
            std::uint32_t sum = 0;
            for (const std::string& it : members) {
                std::uint32_t share = partitionSlots("x", slots, members, it);
                sum += share;
                REQUIRE(share >= slots / members.size());
                REQUIRE(share <= (slots + members.size() - 1) / members.size());
            }
            REQUIRE(sum == slots);
        }
        if (mask % 2 == 0)
            REQUIRE(partitionSlots("x", s_slots, members, "a") == 0);
    }
}

TEST_CASE("shares add up to at most the slots in all short histories of lists")
{
    REQUIRE(largestSumOfAll(4) <= s_slots);
}

TEST_CASE("the check of short histories detects a hold that is too short")
{
    REQUIRE(largestSumOfAll(0) > s_slots);
}

TEST_CASE("shares add up to at most the slots in random long histories")
{
    auto seed = GENERATE(range(1u, 60u));
    CAPTURE(seed);
    std::mt19937 random(seed);
    constexpr int s_longestLag = 5;
    std::vector<Change> changes;
    for (int at = 0; at < 200; at += 1 + static_cast<int>(random() % (random() % 4 ? 6 : 40)))
        changes.push_back({ at, static_cast<unsigned>(random() % 32) });
    std::vector<int> lags(s_names.size() * changes.size());
    for (int& it : lags)
        it = static_cast<int>(random() % (s_longestLag + 1));
    auto lag = [&](std::size_t i, std::size_t v) { return lags[i * changes.size() + v]; };
    REQUIRE(largestSum(changes, s_names.size(), 2 * s_longestLag, 240, lag) <= s_slots);
}

TEST_CASE("an instance without list updates keeps its share, and others grow theirs after the hold")
{
    TimePoint start {};
    EntryMembership cut("a", Milliseconds(10));
    EntryMembership other("b", Milliseconds(10));
    for (EntryMembership* it : { &cut, &other }) {
        it->updateEntries({ "a", "b" }, start);
        REQUIRE(it->share("x", s_slots) == 0);
        it->settle(start + Milliseconds(10));
        REQUIRE(it->share("x", s_slots) == 4);
    }
    other.updateEntries({ "b" }, start + Milliseconds(20));
    other.settle(start + Milliseconds(29));
    REQUIRE(other.share("x", s_slots) == 4);
    other.settle(start + Milliseconds(30));
    REQUIRE(other.share("x", s_slots) == 8);
    cut.settle(start + std::chrono::hours(1));
    REQUIRE(cut.share("x", s_slots) == 4);
}

TEST_CASE("a frequently changing list never makes a share exceed its bound")
{
    std::mt19937 random(7);
    EntryMembership one("a", Milliseconds(10));
    one.updateEntries({ "a" }, {});
    one.settle(TimePoint {} + Milliseconds(10));
    std::uint32_t least = s_slots;
    for (int i = 0; i < 500; ++i) {
        std::vector<std::string> members { "a" };
        for (unsigned j = 0; j < random() % 40; ++j)
            members.push_back("x" + std::to_string(random() % 100));
        std::sort(members.begin(), members.end());
        members.erase(std::unique(members.begin(), members.end()), members.end());
        one.updateEntries(members, TimePoint {} + Milliseconds(11 + i));
        least = std::min(least, partitionSlots("x", s_slots, members, "a"));
        REQUIRE(one.share("x", s_slots) <= least);
    }
}

} // namespace plantainhold
