#include "plantainhold/store/TopicTail.h"

#include "plantainhold/base/EventSink.h"
#include "plantainhold/util/BootClock.h"

#include <algorithm>

namespace plantainhold {

namespace asio = boost::asio;

namespace {
    // A read that waited for longer is followed by one that does not wait.
    constexpr Milliseconds s_longWait { 100 };
} // namespace

TopicTail::TopicTail(StorePort& store, EventSink& events, std::string topic, std::uint32_t partition, Apply apply)
    : m_store(store)
    , m_events(events)
    , m_topic(std::move(topic))
    , m_partition(partition)
    , m_apply(std::move(apply))
{
}

asio::awaitable<StoreStatus> TopicTail::poll(Milliseconds wait, Milliseconds timeout)
{
    if (!m_isComplete)
        co_return co_await rebuild(timeout);
    for (;;) {
        TimePoint requestedAt = BootClock::now();
        ReadResult result = co_await m_store.read({ m_topic, m_partition }, m_next, wait, wait + timeout);
        if (result.status == StoreStatus::Expired) {
            m_events.note(EventId::HistoryExpired, { { "topic", m_topic }, { "from", m_next } });
            co_return co_await rebuild(timeout);
        }
        if (result.status != StoreStatus::Ok)
            co_return result.status;
        for (const StoredRecord& it : result.records)
            apply(it);
        m_next = result.nextOffset;
        // The records may have appeared at any time since the request. Another read tells what is
        // current now.
        bool hasWaited = wait.count() && !result.records.empty() && BootClock::now() >= requestedAt + s_longWait;
        if (!hasWaited && (result.records.empty() || m_next >= result.endOffset)) {
            // A response without records was sent after the full wait.
            m_currentAsOf = result.records.empty() ? std::min(requestedAt + wait, BootClock::now()) : requestedAt;
            co_return StoreStatus::Ok;
        }
        wait = Milliseconds(0);
    }
}

asio::awaitable<StoreStatus> TopicTail::peek(Milliseconds timeout)
{
    for (std::uint64_t next = m_next;;) {
        ReadResult result = co_await m_store.read({ m_topic, m_partition }, next, Milliseconds(0), timeout);
        if (result.status != StoreStatus::Ok)
            co_return result.status;
        for (const StoredRecord& it : result.records)
            apply(it);
        next = result.nextOffset;
        if (result.records.empty() || next >= result.endOffset)
            co_return StoreStatus::Ok;
    }
}

asio::awaitable<StoreStatus> TopicTail::rebuild(Milliseconds timeout)
{
    TimePoint requestedAt = BootClock::now();
    std::unordered_set<std::string> former = m_keys;
    std::uint64_t end = 0;
    std::string after;
    for (bool isFirst = true, hasMore = true; hasMore; isFirst = false) {
        NewestResult page = co_await m_store.newest({ m_topic, m_partition }, after, timeout);
        if (page.status != StoreStatus::Ok)
            co_return page.status;
        // The pages are not a consistent snapshot, so records after the end offset of the
        // first page are read again.
        if (isFirst)
            end = page.endOffset;
        for (const StoredRecord& it : page.records) {
            former.erase(it.key);
            apply(it);
        }
        hasMore = page.hasMore && !page.records.empty();
        if (!hasMore)
            break;
        // The next page would be the same one again.
        if (page.records.back().key == after) {
            m_events.note(EventId::StoredRecordMalformed, { { "topic", m_topic }, { "what", "page" }, { "key", after } });
            co_return StoreStatus::Invalid;
        }
        after = page.records.back().key;
    }
    for (const std::string& it : former)
        apply({ end, it, {} });
    m_next = end;
    m_isComplete = true;
    m_currentAsOf = requestedAt;
    co_return StoreStatus::Ok;
}

void TopicTail::apply(const StoredRecord& record)
{
    if (record.value.empty())
        m_keys.erase(record.key);
    else
        m_keys.insert(record.key);
    m_apply(record);
}

} // namespace plantainhold
