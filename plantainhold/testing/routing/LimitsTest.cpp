// Tests the retry budget, latency quantiles, fair queue, idle connections and byte
// budget, the first three of them against simple reference models.

#include "plantainhold/routing/FairQueue.h"
#include "plantainhold/routing/IdleConnections.h"
#include "plantainhold/routing/LatencyTracker.h"
#include "plantainhold/routing/RetryBudget.h"
#include "plantainhold/util/ByteBudget.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <random>
#include <set>

namespace plantainhold {

namespace {

    TimePoint at(std::int64_t ms)
    {
        return TimePoint {} + Milliseconds(ms);
    }

    RequestDemand waitingRequest(std::uint64_t id, const std::string& team)
    {
        RequestDemand demand;
        demand.id = id;
        demand.team = team;
        return demand;
    }

    bool admitAll(const RequestDemand&)
    {
        return true;
    }

} // namespace

TEST_CASE("a retry budget never grants more than its deposits, reserve and refill")
{
    auto seed = GENERATE(range(1u, 40u));
    CAPTURE(seed);
    std::mt19937 random(seed);
    RetryBudget budget(at(0));
    std::int64_t now = 0, income = RetryBudget::s_reserve, spent = 0;
    for (int i = 0; i < 3000; ++i) {
        now += static_cast<std::int64_t>(random() % 20);
        if (random() % 2) {
            std::int64_t percent = static_cast<std::int64_t>(random() % 30);
            budget.deposit(percent, at(now));
            income += percent;
        } else if (budget.hasToken(at(now))) {
            budget.withdraw();
            spent += RetryBudget::s_attemptCost;
        }
        REQUIRE(spent <= income + now / 1000 * RetryBudget::s_refillPerSecond);
    }
    REQUIRE(spent > 0);
}

TEST_CASE("an exhausted budget refills slowly and only up to its reserve")
{
    RetryBudget budget(at(0));
    int attempts = 0;
    for (; budget.hasToken(at(0)); ++attempts)
        budget.withdraw();
    REQUIRE(attempts == 20);
    REQUIRE_FALSE(budget.hasToken(at(999)));
    REQUIRE(budget.hasToken(at(1000)));
    for (attempts = 0; budget.hasToken(at(10'000'000)); ++attempts)
        budget.withdraw();
    REQUIRE(attempts == 20);
}

TEST_CASE("quantiles are at most one bucket above the exact values")
{
    auto seed = GENERATE(range(1u, 20u));
    CAPTURE(seed);
    std::mt19937 random(seed);
    std::lognormal_distribution<double> millis(3, 1);
    LatencyTracker tracker;
    std::vector<Duration> exact;
    for (int i = 0; i < 500; ++i) {
        auto latency = std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(millis(random)));
        tracker.add(latency, at(i));
        exact.push_back(latency);
    }
    std::sort(exact.begin(), exact.end());
    for (std::uint32_t permille : { 100u, 500u, 900u, 990u }) {
        Duration wanted = exact[(exact.size() * permille + 999) / 1000 - 1];
        Duration found = tracker.quantile(permille);
        REQUIRE(found >= wanted * 99 / 100);
        REQUIRE(found <= wanted * 121 / 100);
    }
}

TEST_CASE("old latencies lose their weight")
{
    LatencyTracker tracker;
    for (int i = 0; i < 1000; ++i)
        tracker.add(Milliseconds(500), at(0));
    for (int i = 0; i < 1000; ++i)
        tracker.add(Milliseconds(5), at(30'000 + i));
    REQUIRE(tracker.quantile(900) < Milliseconds(10));
    REQUIRE(LatencyTracker().quantile(500) == Duration::zero());
}

TEST_CASE("a fair queue keeps the order within a team and drops the newest request of the largest team")
{
    auto seed = GENERATE(range(1u, 40u));
    CAPTURE(seed);
    std::mt19937 random(seed);
    FairQueue queue;
    constexpr std::size_t s_limit = 12;
    std::map<std::string, std::vector<std::uint64_t>> oracle;
    std::size_t total = 0;
    std::vector<std::string> turns;
    for (std::uint64_t id = 1; id < 600; ++id) {
        std::string team(1, static_cast<char>('a' + random() % 4));
        if (random() % 5 < 3) {
            oracle[team].push_back(id);
            ++total;
            std::optional<RequestDemand> dropped = queue.push(waitingRequest(id, team), s_limit);
            REQUIRE(dropped.has_value() == (total > s_limit));
            if (dropped) {
                auto& line = oracle[dropped->team];
                for (const auto& [name, other] : oracle)
                    REQUIRE(other.size() <= line.size());
                REQUIRE(line.back() == dropped->id);
                line.pop_back();
                --total;
            }
        } else if (random() % 4 == 0 && !oracle[team].empty()) {
            std::uint64_t victim = oracle[team][random() % oracle[team].size()];
            REQUIRE(queue.remove(team, victim).has_value());
            std::erase(oracle[team], victim);
            --total;
        } else if (std::optional<RequestDemand> head = queue.pop(admitAll)) {
            REQUIRE(oracle[head->team].front() == head->id);
            oracle[head->team].erase(oracle[head->team].begin());
            --total;
        }
        REQUIRE(queue.size() == total);
    }
}

TEST_CASE("a burst of one team delays another team by at most one turn")
{
    FairQueue queue;
    for (std::uint64_t id = 0; id < 50; ++id)
        queue.push(waitingRequest(id, "wave"), 100);
    queue.push(waitingRequest(100, "calm"), 100);
    queue.pop(admitAll);
    REQUIRE(queue.pop(admitAll)->id == 100);
    REQUIRE(queue.pop([](const RequestDemand& head) { return head.team != "wave"; }) == std::nullopt);
}

TEST_CASE("idle connections are reused freshest first, unless they are old or suspect")
{
    using Idle = IdleConnections<int>;
    Idle idle;
    idle.put(1, at(0));
    idle.put(2, at(100));
    REQUIRE(idle.take(false, at(-1), at(200)) == 2);
    REQUIRE(idle.take(true, at(-1), at(501)) == std::nullopt);
    REQUIRE(idle.take(true, at(-1), at(500)) == 1);
    idle.put(3, at(1000));
    idle.put(4, at(2000));
    // With a stall at 1500, connection 3 is suspect; connection 4 has carried a
    // response since.
    idle.prune(at(1500), at(2100));
    REQUIRE(idle.size() == 1);
    REQUIRE(idle.take(false, at(1500), at(2000 + Idle::s_idleLimit.count() + 1)) == std::nullopt);
    REQUIRE(idle.size() == 0);
    for (int i = 0; i < 100; ++i)
        idle.put(i, at(i));
    REQUIRE(idle.size() == Idle::s_capacity);
}

TEST_CASE("a byte budget reserves an amount entirely or not at all")
{
    ByteBudget budget(100);
    REQUIRE(budget.tryReserve(60));
    REQUIRE_FALSE(budget.tryReserve(41));
    REQUIRE(budget.tryReserve(40));
    budget.release(100);
    REQUIRE(budget.used() == 0);
}

} // namespace plantainhold
