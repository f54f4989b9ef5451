// Tests what TopicTail says about the age of what it has read.

#include "plantainhold/store/TopicTail.h"
#include "plantainhold/base/EventSink.h"
#include "plantainhold/util/BootClock.h"
#include "plantainhold/util/Sleep.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

namespace plantainhold {

namespace asio = boost::asio;

namespace {

    // A store with one topic, in which a record appears each time that a reader has waited
    // for this time.
    class SlowTopic final : public StorePort {
    public:
        SlowTopic(asio::any_io_executor executor, Milliseconds interval)
            : m_executor(std::move(executor))
            , m_interval(interval)
        {
        }

        asio::awaitable<ReadResult> read(TopicPartition, std::uint64_t from, Milliseconds wait, Milliseconds) override
        {
            ReadResult result;
            result.status = StoreStatus::Ok;
            result.nextOffset = from;
            if (wait >= m_interval) {
                co_await sleepFor(m_executor, m_interval);
                result.records.push_back({ from, "executor", "entry" });
                m_end = result.nextOffset = from + 1;
            }
            result.endOffset = m_end;
            co_return result;
        }

        asio::awaitable<NewestResult> newest(TopicPartition, std::string_view, Milliseconds) override { co_return NewestResult { StoreStatus::Ok, {}, false, m_end }; }
        asio::awaitable<AppendResult> append(TopicPartition, std::span<const KeyedRecord>, std::optional<WriterStamp>, Milliseconds) override { co_return AppendResult {}; }
        asio::awaitable<JoinResult> join(GroupMember, Milliseconds) override { co_return JoinResult {}; }
        asio::awaitable<HoldersResult> holders(std::string_view, Milliseconds) override { co_return HoldersResult {}; }
        asio::awaitable<StoreStatus> leave(GroupMember, Milliseconds) override { co_return StoreStatus::Ok; }

    private:
        asio::any_io_executor m_executor;
        Milliseconds m_interval;
        std::uint64_t m_end = 0;
    };

    // A store whose pages all end at the same key, and which always has more.
    class RepeatedPage final : public StorePort {
    public:
        explicit RepeatedPage(std::string key)
            : m_key(std::move(key))
        {
        }

        asio::awaitable<NewestResult> newest(TopicPartition, std::string_view, Milliseconds) override
        {
            bool isGivenUp = ++pages >= s_maxPages;
            co_return NewestResult { isGivenUp ? StoreStatus::Refused : StoreStatus::Ok, { { 0, m_key, "value" } }, true, 1 };
        }
        asio::awaitable<ReadResult> read(TopicPartition, std::uint64_t, Milliseconds, Milliseconds) override { co_return ReadResult {}; }
        asio::awaitable<AppendResult> append(TopicPartition, std::span<const KeyedRecord>, std::optional<WriterStamp>, Milliseconds) override { co_return AppendResult {}; }
        asio::awaitable<JoinResult> join(GroupMember, Milliseconds) override { co_return JoinResult {}; }
        asio::awaitable<HoldersResult> holders(std::string_view, Milliseconds) override { co_return HoldersResult {}; }
        asio::awaitable<StoreStatus> leave(GroupMember, Milliseconds) override { co_return StoreStatus::Ok; }

        int pages = 0;

    private:
        static constexpr int s_maxPages = 50;
        std::string m_key;
    };

} // namespace

// Guards against an owner that starts nothing: executors that register each 1.5 s left its list
// older than the 1 s at which it still starts tasks, at every moment.
TEST_CASE("a tail is current when it has read a record for which it had to wait")
{
    constexpr Milliseconds s_interval { 200 };
    asio::io_context context;
    SlowTopic store(context.get_executor(), s_interval);
    NullEventSink events;
    TopicTail tail(store, events, "keyed.topic", 0, [](const StoredRecord&) {});
    TimePoint readAt {};
    asio::co_spawn(
        context, [&]() -> asio::awaitable<void> {
            // The first poll reads the newest record of each key.
            for (int i = 0; i < 3; ++i)
                co_await tail.poll(2 * s_interval, s_interval);
            readAt = BootClock::now(); },
        asio::detached);
    context.run();
    CHECK(readAt - tail.currentAsOf() < s_interval / 2);
}

// Guards against a poll that reads the same page for ever: an empty key at a page's end would restart
// the paging, as would a key that the store reads differently.
TEST_CASE("paging that makes no progress ends the poll")
{
    for (const char* key : { "", "key" }) {
        RepeatedPage store(key);
        NullEventSink events;
        TopicTail tail(store, events, "keyed.topic", 0, [](const StoredRecord&) {});
        StoreStatus status = StoreStatus::Ok;
        asio::io_context context;
        asio::co_spawn(
            context, [&]() -> asio::awaitable<void> { status = co_await tail.poll(Milliseconds(0), Milliseconds(100)); }, asio::detached);
        context.run();
        CHECK(status == StoreStatus::Invalid);
        CHECK(store.pages <= 2);
        CHECK_FALSE(tail.isComplete());
    }
}

} // namespace plantainhold
