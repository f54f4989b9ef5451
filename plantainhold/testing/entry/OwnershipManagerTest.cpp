// Tests which of several instances of different sizes owns the partition, in particular
// when all of them start at the same time or the owner leaves.

#include "plantainhold/entry/OwnershipManager.h"
#include "plantainhold/base/EventSink.h"
#include "plantainhold/testing/store/MemoryStore.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <catch2/catch.hpp>
#include <memory>
#include <thread>
#include <utility>
#include <vector>

namespace plantainhold {
namespace asio = boost::asio;

namespace {

    constexpr Milliseconds s_timeToLive { 200 };

    class Fleet {
    public:
        explicit Fleet(std::shared_ptr<MemoryStore> usedStore = std::make_shared<MemoryStore>())
            : store(std::move(usedStore))
        {
        }

        struct Instance {
            std::unique_ptr<OwnershipManager> ownership;
            std::uint32_t terms = 0;
            // Generation of each term.
            std::vector<std::uint64_t> generations;
            bool isReleased = true;
        };

        Instance& start(const std::string& name, double cores)
        {
            Instance& added = *m_instances.emplace_back(std::make_unique<Instance>());
            OwnershipOptions options;
            options.member = name;
            options.sizeClass = OwnershipManager::sizeClassOf(cores);
            options.timeToLive = s_timeToLive;
            options.renewInterval = Milliseconds(10);
            options.standbyDelay = Milliseconds(60);
            options.largerCheckInterval = Milliseconds(20);
            OwnershipManager::Listeners listeners {
                [&added](std::uint64_t generation) {
                    ++added.terms;
                    added.generations.push_back(generation);
                    added.isReleased = false;
                },
                [this, &added](std::string_view) { releaseAfterDelay(added); },
                [&added]() { return added.isReleased; }
            };
            added.ownership = std::make_unique<OwnershipManager>(m_context.get_executor(), *store, m_events, options, std::move(listeners));
            asio::co_spawn(m_context, added.ownership->run(), asio::detached);
            return added;
        }

        // Starts an instance and runs it until it owns the partition, in its first term.
        Instance& startOwner(const std::string& name, double cores)
        {
            Instance& added = start(name, cores);
            runFor(Milliseconds(150));
            REQUIRE(added.ownership->isOwner());
            REQUIRE(added.generations.size() == 1);
            return added;
        }

        void stop(Instance& instance, Milliseconds patience = Milliseconds(0))
        {
            asio::co_spawn(m_context, instance.ownership->leave("a test", patience), asio::detached);
        }

        void runFor(Milliseconds time)
        {
            m_context.run_for(time);
            m_context.restart();
        }

        // Stops all instances, as SIGSTOP does, until their memberships have expired. Meanwhile
        // another instance owns the partition for a short term.
        void standStillDuringAnotherTerm()
        {
            std::this_thread::sleep_for(2 * s_timeToLive);
            asio::io_context other;
            GroupMember member { OwnershipManager::s_ownersGroup, "other", OwnershipManager::s_ownersTopic, s_timeToLive, 0 };
            auto term = [this, member]() -> asio::awaitable<void> {
                co_await store->join(member, s_timeToLive);
                co_await store->leave(member, s_timeToLive);
            };
            asio::co_spawn(other, term, asio::detached);
            other.run();
        }

        std::size_t owners() const
        {
            std::size_t n = 0;
            for (const auto& it : m_instances)
                n += it->ownership->isOwner();
            return n;
        }

        const std::shared_ptr<MemoryStore> store;

    private:
        // Simulates the time that it takes to store the final record.
        void releaseAfterDelay(Instance& instance)
        {
            auto timer = std::make_shared<asio::steady_timer>(m_context, Milliseconds(30));
            timer->async_wait([timer, &instance](const boost::system::error_code&) { instance.isReleased = true; });
        }

        NullEventSink m_events;
        asio::io_context m_context;
        std::vector<std::unique_ptr<Instance>> m_instances;
    };

    constexpr double s_small = 0.07;
    constexpr double s_large = 0.5;

} // namespace

TEST_CASE("among instances that start together, a large one becomes the owner")
{
    Fleet fleet;
    auto& first = fleet.start("small-1", s_small);
    auto& second = fleet.start("small-2", s_small);
    fleet.runFor(Milliseconds(20));
    auto& large = fleet.start("large", s_large);
    fleet.runFor(Milliseconds(300));
    CHECK(large.ownership->isOwner());
    CHECK(first.terms + second.terms == 0);
    CHECK(fleet.owners() == 1);
}

TEST_CASE("a small instance becomes the owner if there is no larger one")
{
    Fleet fleet;
    fleet.start("small-1", s_small);
    fleet.start("small-2", s_small);
    fleet.runFor(Milliseconds(300));
    CHECK(fleet.owners() == 1);
}

TEST_CASE("a small owner hands over to a larger instance that starts later")
{
    Fleet fleet;
    auto& small = fleet.start("small", s_small);
    fleet.runFor(Milliseconds(200));
    REQUIRE(small.ownership->isOwner());
    auto& large = fleet.start("large", s_large);
    fleet.runFor(Milliseconds(500));
    CHECK(large.ownership->isOwner());
    CHECK_FALSE(small.ownership->isOwner());
    CHECK(small.terms == 1);
    CHECK(large.terms == 1);
}

TEST_CASE("an owner does not hand over to an instance of the same size class")
{
    Fleet fleet;
    auto& first = fleet.startOwner("a", s_large);
    // Slightly larger, but in the same size class.
    auto& second = fleet.start("b", s_large * 1.01);
    fleet.runFor(Milliseconds(300));
    CHECK(first.terms == 1);
    CHECK(second.terms == 0);
}

TEST_CASE("the next owner starts after the final record of the former one is stored")
{
    Fleet fleet;
    auto& first = fleet.start("a", s_large);
    fleet.runFor(Milliseconds(150));
    auto& second = fleet.start("b", s_large);
    fleet.runFor(Milliseconds(100));
    REQUIRE(first.ownership->isOwner());
    fleet.stop(first);
    fleet.runFor(Milliseconds(15));
    CHECK(fleet.owners() == 0);
    CHECK(second.terms == 0);
    fleet.runFor(Milliseconds(200));
    CHECK(first.isReleased);
    CHECK(second.ownership->isOwner());
}

// LOST: all instances were stopped within seconds of each other. The owner released the partition at once, and
// nobody owned it until the first one had started again, so that leases expired all over the fleet.
TEST_CASE("an owner that leaves remains one until another instance is on standby")
{
    Fleet fleet;
    auto& first = fleet.startOwner("a", s_large);
    fleet.stop(first, Milliseconds(10'000));
    fleet.runFor(2 * s_timeToLive);
    CHECK(first.ownership->isOwner());
    auto& second = fleet.start("b", s_large);
    fleet.runFor(Milliseconds(500));
    CHECK_FALSE(first.ownership->isOwner());
    CHECK(first.terms == 1);
    CHECK(second.ownership->isOwner());
}

// The process is killed when its time is over: the last record of the term must be stored before.
TEST_CASE("an owner that leaves gives up the partition in time though no other instance is on standby")
{
    Fleet fleet;
    auto& instance = fleet.startOwner("a", s_large);
    fleet.stop(instance, Milliseconds(200));
    fleet.runFor(Milliseconds(500));
    CHECK_FALSE(instance.ownership->isOwner());
    CHECK(instance.isReleased);
}

// Guards against an owner that stands still, and then sends commands that it decided on
// before another instance owned the partition.
TEST_CASE("a term ends with its membership although the partition is free again")
{
    Fleet fleet;
    auto& instance = fleet.startOwner("a", s_large);
    fleet.standStillDuringAnotherTerm();
    fleet.runFor(Milliseconds(300));
    REQUIRE(instance.generations.size() == 2);
    CHECK(instance.generations.back() > instance.generations.front());
    CHECK(instance.ownership->isOwner());
}

// Guards against the same where the process stands still after it has found its membership
// valid, before the call that renews it is sent.
TEST_CASE("a term ends if its membership expires while its renewal is being sent")
{
    Fleet fleet;
    auto& instance = fleet.startOwner("a", s_large);
    bool hasStoodStill = false;
    fleet.store->beforeJoin = [&](const GroupMember& member) {
        if (member.group == OwnershipManager::s_ownersGroup && !std::exchange(hasStoodStill, true))
            fleet.standStillDuringAnotherTerm();
    };
    fleet.runFor(4 * s_timeToLive);
    REQUIRE(hasStoodStill);
    REQUIRE(instance.generations.size() == 2);
    CHECK(instance.generations.back() > instance.generations.front());
}

// Guards against two terms with equal epochs and fencing tokens: a late command of the first
// one would be accepted in the second one.
TEST_CASE("a renewal that returns after the owner gave up does not begin a second term of the same generation")
{
    Fleet fleet;
    auto& instance = fleet.startOwner("a", s_large);
    bool hasGivenUp = false;
    fleet.store->beforeJoinReturns = [&](const GroupMember& member) {
        if (member.group == OwnershipManager::s_ownersGroup && !std::exchange(hasGivenUp, true))
            instance.ownership->giveUp("a test");
    };
    fleet.runFor(Milliseconds(300));
    REQUIRE(hasGivenUp);
    REQUIRE(instance.generations.size() == 2);
    CHECK(instance.generations.back() > instance.generations.front());
}

// Guards against two terms with equal epochs and fencing tokens, if the store does not
// respond while an owner leaves its group.
TEST_CASE("an owner whose departure was lost begins its next term with a higher generation")
{
    Fleet fleet;
    auto& instance = fleet.startOwner("a", s_large);
    fleet.store->areLeavesLost = true;
    instance.ownership->giveUp("a test");
    fleet.runFor(Milliseconds(500));
    REQUIRE(instance.generations.size() == 2);
    CHECK(instance.generations.back() > instance.generations.front());
}

// Guards against two processes that write with one epoch and call executors with the same
// fencing tokens, because the second one has the name and the membership of the first one.
TEST_CASE("a process that restarts within its membership's time to live begins a new generation")
{
    Fleet killed;
    auto& former = killed.start("a", s_large);
    killed.runFor(Milliseconds(150));
    REQUIRE(former.generations.size() == 1);
    // The killed process does not run again.
    Fleet restarted(killed.store);
    auto& next = restarted.start("a", s_large);
    restarted.runFor(Milliseconds(300));
    REQUIRE(next.generations.size() == 1);
    CHECK(next.generations.front() > former.generations.front());
}

// While the store is down, the times to live of its groups pause. The membership of a killed process was
// taken for over after its time to live, and the next process began a term of the same generation.
TEST_CASE("a process that restarts while the store is down begins a new generation")
{
    Fleet killed;
    auto& former = killed.start("a", s_large);
    killed.runFor(Milliseconds(150));
    REQUIRE(former.generations.size() == 1);
    // The membership outlasts its time to live.
    asio::io_context other;
    GroupMember member { OwnershipManager::s_ownersGroup, "a", OwnershipManager::s_ownersTopic, Milliseconds(10'000), 0 };
    asio::co_spawn(
        other, [&]() -> asio::awaitable<void> { co_await killed.store->join(member, s_timeToLive); }, asio::detached);
    other.run();
    killed.store->areLeavesLost = true;
    killed.store->joinStatus = StoreStatus::Unknown;
    Fleet restarted(killed.store);
    auto& next = restarted.start("a", s_large);
    restarted.runFor(2 * s_timeToLive);
    killed.store->areLeavesLost = false;
    killed.store->joinStatus = StoreStatus::Ok;
    restarted.runFor(Milliseconds(600));
    REQUIRE(next.generations.size() == 1);
    CHECK(next.generations.front() > former.generations.front());
}

} // namespace plantainhold
