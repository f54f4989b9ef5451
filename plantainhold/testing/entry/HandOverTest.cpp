// Tests of an owner that is asked to stop while the store says little of who could take over.

#include "plantainhold/base/EventSink.h"
#include "plantainhold/entry/OwnershipManager.h"
#include "plantainhold/testing/store/MemoryStore.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <memory>

namespace plantainhold {
namespace asio = boost::asio;

namespace {

    constexpr Milliseconds s_timeToLive { 200 };

    // The only instance that lives. It becomes the owner at once, and releases at once.
    class LastInstance {
    public:
        LastInstance()
        {
            OwnershipOptions options;
            options.member = "last";
            options.timeToLive = s_timeToLive;
            options.renewInterval = Milliseconds(10);
            options.standbyDelay = Milliseconds(20);
            ownership = std::make_unique<OwnershipManager>(m_context.get_executor(), store, m_events, options, OwnershipManager::Listeners { [](std::uint64_t) {}, [](std::string_view) {}, []() { return true; } });
            asio::co_spawn(m_context, ownership->run(), asio::detached);
            runFor(Milliseconds(150));
        }

        // Another instance joins the standby group and is killed.
        void addDeadStandby()
        {
            asio::co_spawn(
                m_context, [this]() -> asio::awaitable<void> { co_await store.join({ "standby", "dead", "standby-9", s_timeToLive, 0 }, s_timeToLive); }, asio::detached);
            runFor(Milliseconds(10));
        }

        void stop(Milliseconds patience) { asio::co_spawn(m_context, ownership->leave("a test", patience), asio::detached); }

        void runFor(Milliseconds time)
        {
            m_context.run_for(time);
            m_context.restart();
        }

        MemoryStore store;
        std::unique_ptr<OwnershipManager> ownership;

    private:
        NullEventSink m_events;
        asio::io_context m_context;
    };

} // namespace

// LOST: the owner handed over to an instance that had been killed and whose membership of the standby group had not
// expired yet. Nobody owned the partition until another instance had started.
TEST_CASE("an owner that leaves does not take a killed instance for its successor")
{
    LastInstance last;
    REQUIRE(last.ownership->isOwner());
    last.addDeadStandby();
    last.stop(10 * s_timeToLive);
    last.runFor(3 * s_timeToLive);
    CHECK(last.ownership->isOwner());
}

// TWICE, LOST: a look-up of a successor that the store answered late went on beyond the patience, so that the process
// was killed before its last record was stored.
TEST_CASE("an owner that leaves looks for a successor no longer than it may")
{
    constexpr Milliseconds s_patience { 200 };
    constexpr Milliseconds s_tolerance { 150 };
    LastInstance last;
    REQUIRE(last.ownership->isOwner());
    last.store.holdersTime = Milliseconds(900);
    last.stop(s_patience);
    last.runFor(s_patience + s_tolerance);
    CHECK_FALSE(last.ownership->isOwner());
}

} // namespace plantainhold
