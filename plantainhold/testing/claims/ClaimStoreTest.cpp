// Tests the claim store on a log with injected faults. Time advances only by the
// test's clock, and each decision is awaited, so that no result depends on the
// speed of the machine.

#include "plantainhold/claims/ClaimStore.h"
#include "plantainhold/testing/log/ManualClock.h"
#include "plantainhold/testing/log/MemoryLog.h"

#include <catch2/catch.hpp>
#include <future>
#include <memory>

namespace plantainhold {

namespace {

    constexpr Milliseconds s_callerTimeout { 10'000 };
    constexpr std::chrono::seconds s_testTimeout { 20 };
    const std::string s_stream = "claims/0";

    ClaimStore::Options options(std::uint64_t holder)
    {
        ClaimStore::Options options;
        options.partitions = 1;
        options.partition.holder = holder;
        options.partition.validity = Milliseconds(1000);
        options.partition.retention = Milliseconds(60'000);
        options.partition.commitInterval = Milliseconds(1);
        options.partition.longPoll = Milliseconds(20);
        return options;
    }

    struct Fixture {
        MemoryLog log;
        ManualClock clock;
        ClaimStore first { log, clock, options(1) };
        ClaimStore second { log, clock, options(2) };

        using Pending = std::future<ClaimDecision>;

        Pending startClaim(ClaimStore& store, const std::string& key = "k", std::uint64_t body = 1, const std::string& team = "t")
        {
            auto promise = std::make_shared<std::promise<ClaimDecision>>();
            store.begin({ team, key, body, clock.now() + s_callerTimeout }, [promise](const ClaimDecision& decision) { promise->set_value(decision); });
            return promise->get_future();
        }

        static ClaimDecision wait(Pending pending)
        {
            REQUIRE(pending.wait_for(s_testTimeout) == std::future_status::ready);
            return pending.get();
        }

        ClaimDecision claim(ClaimStore& store, const std::string& key = "k", std::uint64_t body = 1, const std::string& team = "t")
        {
            return wait(startClaim(store, key, body, team));
        }

        bool release(ClaimStore& store, const std::string& id)
        {
            std::promise<bool> promise;
            store.abandon(id, clock.now() + s_callerTimeout, [&promise](bool isFree) { promise.set_value(isFree); });
            return promise.get_future().get();
        }

        template <typename Predicate>
        static void eventually(const Predicate& holds)
        {
            auto until = std::chrono::steady_clock::now() + s_testTimeout;
            bool isTrue = holds();
            while (!isTrue && std::chrono::steady_clock::now() < until) {
                std::this_thread::sleep_for(Milliseconds(1));
                isTrue = holds();
            }
            REQUIRE(isTrue);
        }

        // Repeats the request until the store makes the wanted decision.
        ClaimDecision claimUntil(ClaimStore& store, ClaimState wanted)
        {
            ClaimDecision decision;
            eventually([&] { decision = claim(store); return decision.state == wanted; });
            return decision;
        }
    };

} // namespace

TEST_CASE_METHOD(Fixture, "one of two instances wins, and the other gets the recorded outcome")
{
    ClaimDecision won = claim(first);
    REQUIRE(won.state == ClaimState::Won);
    CHECK(won.validUntil == clock.now() + Milliseconds(1000));
    CHECK(claim(second).state == ClaimState::InProgress);
    first.finish(won.claimId, ResultCode::Done, 201);
    ClaimDecision repeat = claimUntil(second, ClaimState::Recorded);
    CHECK(repeat.status == 201);
    CHECK(repeat.result == ResultCode::Done);
}

TEST_CASE_METHOD(Fixture, "concurrent claims on one key have exactly one winner")
{
    std::vector<Pending> pending;
    for (int i = 0; i < 40; ++i)
        pending.push_back(startClaim(i % 2 ? first : second));
    int winners = 0;
    for (Pending& it : pending)
        winners += wait(std::move(it)).state == ClaimState::Won;
    CHECK(winners == 1);
}

TEST_CASE_METHOD(Fixture, "equal keys of two teams are distinct")
{
    CHECK(claim(first, "k", 1, "parish").state == ClaimState::Won);
    CHECK(claim(second, "k", 2, "roasters").state == ClaimState::Won);
    // Lengths are hashed as well, so moving a letter from team to key gives a different key.
    CHECK(claim(second, "sk", 2, "roaster").state == ClaimState::Won);
}

TEST_CASE_METHOD(Fixture, "a key that is reused with a different request is refused")
{
    REQUIRE(claim(first, "k", 1).state == ClaimState::Won);
    CHECK(claim(first, "k", 2).state == ClaimState::KeyReused);
    CHECK(claim(second, "k", 2).state == ClaimState::KeyReused);
}

TEST_CASE_METHOD(Fixture, "after a release a repeat wins on another instance")
{
    ClaimDecision won = claim(first);
    REQUIRE(won.state == ClaimState::Won);
    REQUIRE(release(first, won.claimId));
    claimUntil(second, ClaimState::Won);
}

TEST_CASE_METHOD(Fixture, "a claim whose append result was lost is won by reading it back")
{
    log.setMode(MemoryLog::Mode::LosingReplies);
    CHECK(claim(first).state == ClaimState::Won);
}

TEST_CASE_METHOD(Fixture, "a refused append is reported as not run immediately")
{
    log.setMode(MemoryLog::Mode::Refusing);
    CHECK(claim(first).state == ClaimState::NotAvailable);
    log.setMode(MemoryLog::Mode::Normal);
    CHECK(claim(second).state == ClaimState::Won);
}

TEST_CASE_METHOD(Fixture, "a claim that reaches the log after not run was reported does not hold the key")
{
    log.setMode(MemoryLog::Mode::Holding);
    Pending pending = startClaim(first);
    eventually([&] { return log.heldAppends() == 1; });
    log.setMode(MemoryLog::Mode::Normal);
    clock.advance(Milliseconds(1500));
    ClaimDecision decision = wait(std::move(pending));
    CHECK(decision.state == ClaimState::NotAvailable);
    log.releaseHeld();
    CHECK(claim(second).state == ClaimState::Won);
    eventually([&] { return claim(first).state == ClaimState::InProgress; });
}

TEST_CASE_METHOD(Fixture, "without a tombstone in the log the outcome is unknown")
{
    log.setMode(MemoryLog::Mode::Holding);
    Pending pending = startClaim(first);
    eventually([&] { return log.heldAppends() == 1; });
    log.setMode(MemoryLog::Mode::Outage);
    clock.advance(Milliseconds(1500));
    eventually([&] { return log.appendCount() >= 2; });
    clock.advance(s_callerTimeout);
    ClaimDecision decision = wait(std::move(pending));
    CHECK(decision.state == ClaimState::OutcomeUnknown);
    // The claim reaches the log and is never dispatched; the tombstone, which is
    // still being retried, frees the key.
    log.setMode(MemoryLog::Mode::Normal);
    log.releaseHeld();
    clock.advance(Milliseconds(200));
    claimUntil(second, ClaimState::Won);
}

TEST_CASE_METHOD(Fixture, "an outage is reported as not run quickly and appends nothing")
{
    REQUIRE(claim(first, "other").state == ClaimState::Won);
    std::size_t before = log.appendCount();
    log.setMode(MemoryLog::Mode::Outage);
    eventually([&] { return first.totals().partitionsDown == 1; });
    CHECK(claim(first).state == ClaimState::NotAvailable);
    CHECK(log.appendCount() == before);
    log.setMode(MemoryLog::Mode::Normal);
    claimUntil(first, ClaimState::Won);
}

TEST_CASE_METHOD(Fixture, "an instance that was paused beyond the claim's validity does not dispatch")
{
    log.setMode(MemoryLog::Mode::Holding);
    Pending pending = startClaim(first);
    eventually([&] { return log.heldAppends() == 1; });
    clock.advance(Milliseconds(1001));
    log.setMode(MemoryLog::Mode::Normal);
    log.releaseHeld();
    ClaimDecision decision = wait(std::move(pending));
    CHECK(decision.state == ClaimState::NotAvailable);
    claimUntil(second, ClaimState::Won);
}

TEST_CASE_METHOD(Fixture, "a restarted instance knows outcomes, and the run of a dead holder stays unknown")
{
    ClaimDecision done = claim(first, "done");
    first.finish(done.claimId, ResultCode::Done, 200);
    REQUIRE(claim(first, "k").state == ClaimState::Won);
    eventually([&] { return first.totals().open == 1; });
    ClaimStore restarted(log, clock, options(3));
    CHECK(claim(restarted, "done").state == ClaimState::Recorded);
    CHECK(claim(restarted, "k").state == ClaimState::InProgress);
    clock.advance(s_callerTimeout + Milliseconds(5000));
    CHECK(claim(restarted, "k").state == ClaimState::OutcomeUnknown);
    CHECK(claim(second, "k").state != ClaimState::Won);
}

TEST_CASE_METHOD(Fixture, "a key is remembered for the retention and then forgotten by all instances")
{
    ClaimDecision won = claim(first);
    first.finish(won.claimId, ResultCode::Done, 200);
    eventually([&] { return first.totals().open == 0; });
    claimUntil(second, ClaimState::Recorded);
    clock.advance(Milliseconds(59'000));
    CHECK(claim(second).state == ClaimState::Recorded);
    // Offsets are sampled at intervals of 1/16 of the retention.
    eventually([&] {
        clock.advance(Milliseconds(500));
        std::this_thread::sleep_for(Milliseconds(2));
        return first.totals().keys == 0 && second.totals().keys == 0;
    });
    CHECK(claim(second).state == ClaimState::Won);
    ClaimStore restarted(log, clock, options(3));
    CHECK(claim(restarted).state == ClaimState::InProgress);
}

TEST_CASE_METHOD(Fixture, "a record that the log is about to expire is appended again within the retention")
{
    ClaimDecision won = claim(first);
    first.finish(won.claimId, ResultCode::Done, 207);
    eventually([&] { return first.totals().open == 0; });
    std::uint64_t end = log.nextOffset(s_stream);
    log.setFirstExpiresIn(Milliseconds(100));
    eventually([&] { return log.nextOffset(s_stream) > end; });
    log.expire(s_stream, end);
    ClaimStore restarted(log, clock, options(3));
    ClaimDecision repeat = claim(restarted);
    CHECK(repeat.state == ClaimState::Recorded);
    CHECK(repeat.status == 207);
}

TEST_CASE("an instance at its key limit refuses new claims")
{
    MemoryLog log;
    ManualClock clock;
    ClaimStore::Options few = options(1);
    few.partition.keyLimit = 3;
    ClaimStore store(log, clock, few);
    int won = 0;
    int refused = 0;
    for (int i = 0; i < 5; ++i) {
        std::promise<ClaimDecision> promise;
        store.begin({ "t", std::to_string(i), 1, clock.now() + s_callerTimeout }, [&](const ClaimDecision& decision) { promise.set_value(decision); });
        ClaimState state = promise.get_future().get().state;
        won += state == ClaimState::Won;
        refused += state == ClaimState::NotAvailable;
    }
    CHECK(won <= 3);
    CHECK(won + refused == 5);
    CHECK(refused >= 2);
}

} // namespace plantainhold
