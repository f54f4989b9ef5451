// The claim store over a log with faults. Time moves only by the test's clock,
// and each decision is waited for, so no outcome depends on the machine's speed.

#include "plantainhold/claims/ClaimStore.h"
#include "plantainhold/testing/log/ManualClock.h"
#include "plantainhold/testing/log/MemoryLog.h"

#include <catch2/catch.hpp>
#include <future>
#include <memory>

namespace plantainhold {

namespace {

    constexpr Milliseconds s_callerPatience { 10'000 };
    constexpr std::chrono::seconds s_hang { 20 };
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

        Pending start(ClaimStore& store, const std::string& key = "k", std::uint64_t body = 1, const std::string& team = "t")
        {
            auto promise = std::make_shared<std::promise<ClaimDecision>>();
            store.begin({ team, key, body, clock.now() + s_callerPatience }, [promise](const ClaimDecision& decision) { promise->set_value(decision); });
            return promise->get_future();
        }

        static ClaimDecision wait(Pending pending)
        {
            REQUIRE(pending.wait_for(s_hang) == std::future_status::ready);
            return pending.get();
        }

        ClaimDecision ask(ClaimStore& store, const std::string& key = "k", std::uint64_t body = 1, const std::string& team = "t")
        {
            return wait(start(store, key, body, team));
        }

        bool release(ClaimStore& store, const std::string& id)
        {
            std::promise<bool> promise;
            store.abandon(id, clock.now() + s_callerPatience, [&promise](bool isFree) { promise.set_value(isFree); });
            return promise.get_future().get();
        }

        template <typename Predicate>
        static void eventually(const Predicate& holds)
        {
            auto until = std::chrono::steady_clock::now() + s_hang;
            bool isTrue = holds();
            while (!isTrue && std::chrono::steady_clock::now() < until) {
                std::this_thread::sleep_for(Milliseconds(1));
                isTrue = holds();
            }
            REQUIRE(isTrue);
        }

        // Until the store knows a decision of this kind without a claim of its own.
        ClaimDecision askUntil(ClaimStore& store, ClaimState wanted)
        {
            ClaimDecision decision;
            eventually([&] { decision = ask(store); return decision.state == wanted; });
            return decision;
        }
    };

} // namespace

TEST_CASE_METHOD(Fixture, "of two instances one wins and the other hears the recorded outcome")
{
    ClaimDecision won = ask(first);
    REQUIRE(won.state == ClaimState::Won);
    CHECK(won.validUntil == clock.now() + Milliseconds(1000));
    CHECK(ask(second).state == ClaimState::InProgress);
    first.finish(won.claimId, ResultCode::Done, 201);
    ClaimDecision repeat = askUntil(second, ClaimState::Recorded);
    CHECK(repeat.status == 201);
    CHECK(repeat.result == ResultCode::Done);
}

TEST_CASE_METHOD(Fixture, "claims that race on one key have one winner")
{
    std::vector<Pending> pending;
    for (int i = 0; i < 40; ++i)
        pending.push_back(start(i % 2 ? first : second));
    int winners = 0;
    for (Pending& it : pending)
        winners += wait(std::move(it)).state == ClaimState::Won;
    CHECK(winners == 1);
}

TEST_CASE_METHOD(Fixture, "one key of two teams is two keys")
{
    CHECK(ask(first, "k", 1, "parish").state == ClaimState::Won);
    CHECK(ask(second, "k", 2, "roasters").state == ClaimState::Won);
    // Lengths are hashed as well: moving a letter from team to key makes another key.
    CHECK(ask(second, "sk", 2, "roaster").state == ClaimState::Won);
}

TEST_CASE_METHOD(Fixture, "a key with another request is refused")
{
    REQUIRE(ask(first, "k", 1).state == ClaimState::Won);
    CHECK(ask(first, "k", 2).state == ClaimState::KeyReused);
    CHECK(ask(second, "k", 2).state == ClaimState::KeyReused);
}

TEST_CASE_METHOD(Fixture, "after a true not run the honest repeat wins elsewhere")
{
    ClaimDecision won = ask(first);
    REQUIRE(won.state == ClaimState::Won);
    REQUIRE(release(first, won.claimId));
    askUntil(second, ClaimState::Won);
}

TEST_CASE_METHOD(Fixture, "a claim whose reply was lost is won by reading it back")
{
    log.setMode(MemoryLog::Mode::LosingReplies);
    CHECK(ask(first).state == ClaimState::Won);
}

TEST_CASE_METHOD(Fixture, "a refused claim is not run at once")
{
    log.setMode(MemoryLog::Mode::Refusing);
    CHECK(ask(first).state == ClaimState::NotAvailable);
    log.setMode(MemoryLog::Mode::Normal);
    CHECK(ask(second).state == ClaimState::Won);
}

TEST_CASE_METHOD(Fixture, "a claim that lands after not run was said holds nothing")
{
    log.setMode(MemoryLog::Mode::Holding);
    Pending pending = start(first);
    eventually([&] { return log.heldAppends() == 1; });
    log.setMode(MemoryLog::Mode::Normal);
    clock.advance(Milliseconds(1500));
    ClaimDecision decision = wait(std::move(pending));
    CHECK(decision.state == ClaimState::NotAvailable);
    log.land();
    CHECK(ask(second).state == ClaimState::Won);
    eventually([&] { return ask(first).state == ClaimState::InProgress; });
}

TEST_CASE_METHOD(Fixture, "without a tombstone in the log the answer is unknown")
{
    log.setMode(MemoryLog::Mode::Holding);
    Pending pending = start(first);
    eventually([&] { return log.heldAppends() == 1; });
    log.setMode(MemoryLog::Mode::Outage);
    clock.advance(Milliseconds(1500));
    eventually([&] { return log.appendCount() >= 2; });
    clock.advance(s_callerPatience);
    ClaimDecision decision = wait(std::move(pending));
    CHECK(decision.state == ClaimState::OutcomeUnknown);
    // It lands, nobody ever dispatches it, and the tombstone that is still tried frees the key.
    log.setMode(MemoryLog::Mode::Normal);
    log.land();
    clock.advance(Milliseconds(200));
    askUntil(second, ClaimState::Won);
}

TEST_CASE_METHOD(Fixture, "an outage is a quick not run and leaves nothing behind")
{
    REQUIRE(ask(first, "other").state == ClaimState::Won);
    std::size_t before = log.appendCount();
    log.setMode(MemoryLog::Mode::Outage);
    eventually([&] { return first.totals().partitionsDown == 1; });
    CHECK(ask(first).state == ClaimState::NotAvailable);
    CHECK(log.appendCount() == before);
    log.setMode(MemoryLog::Mode::Normal);
    askUntil(first, ClaimState::Won);
}

TEST_CASE_METHOD(Fixture, "a claimant that was paused past its claim finds out before the dispatch")
{
    log.setMode(MemoryLog::Mode::Holding);
    Pending pending = start(first);
    eventually([&] { return log.heldAppends() == 1; });
    clock.advance(Milliseconds(1001));
    log.setMode(MemoryLog::Mode::Normal);
    log.land();
    ClaimDecision decision = wait(std::move(pending));
    CHECK(decision.state == ClaimState::NotAvailable);
    askUntil(second, ClaimState::Won);
}

TEST_CASE_METHOD(Fixture, "a restarted instance knows outcomes, and a dead holder's run stays unknown")
{
    ClaimDecision done = ask(first, "done");
    first.finish(done.claimId, ResultCode::Done, 200);
    REQUIRE(ask(first, "k").state == ClaimState::Won);
    eventually([&] { return first.totals().open == 1; });
    ClaimStore restarted(log, clock, options(3));
    CHECK(ask(restarted, "done").state == ClaimState::Recorded);
    CHECK(ask(restarted, "k").state == ClaimState::InProgress);
    clock.advance(s_callerPatience + Milliseconds(5000));
    CHECK(ask(restarted, "k").state == ClaimState::OutcomeUnknown);
    CHECK(ask(second, "k").state != ClaimState::Won);
}

TEST_CASE_METHOD(Fixture, "a key is remembered for the retention and forgotten by all after it")
{
    ClaimDecision won = ask(first);
    first.finish(won.claimId, ResultCode::Done, 200);
    eventually([&] { return first.totals().open == 0; });
    askUntil(second, ClaimState::Recorded);
    clock.advance(Milliseconds(59'000));
    CHECK(ask(second).state == ClaimState::Recorded);
    // Samples are taken a sixteenth of the retention apart.
    eventually([&] {
        clock.advance(Milliseconds(500));
        std::this_thread::sleep_for(Milliseconds(2));
        return first.totals().keys == 0 && second.totals().keys == 0;
    });
    CHECK(ask(second).state == ClaimState::Won);
    ClaimStore restarted(log, clock, options(3));
    CHECK(ask(restarted).state == ClaimState::InProgress);
}

TEST_CASE_METHOD(Fixture, "what the log is about to forget is appended again while it is promised")
{
    ClaimDecision won = ask(first);
    first.finish(won.claimId, ResultCode::Done, 207);
    eventually([&] { return first.totals().open == 0; });
    std::uint64_t end = log.nextOffset(s_stream);
    log.setFirstExpiresIn(Milliseconds(100));
    eventually([&] { return log.nextOffset(s_stream) > end; });
    log.expire(s_stream, end);
    ClaimStore restarted(log, clock, options(3));
    ClaimDecision repeat = ask(restarted);
    CHECK(repeat.state == ClaimState::Recorded);
    CHECK(repeat.status == 207);
}

TEST_CASE("an instance that remembers as many keys as it may refuses new claims")
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
        store.begin({ "t", std::to_string(i), 1, clock.now() + s_callerPatience }, [&](const ClaimDecision& decision) { promise.set_value(decision); });
        ClaimState state = promise.get_future().get().state;
        won += state == ClaimState::Won;
        refused += state == ClaimState::NotAvailable;
    }
    CHECK(won <= 3);
    CHECK(won + refused == 5);
    CHECK(refused >= 2);
}

} // namespace plantainhold
