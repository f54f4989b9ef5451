// TopicTail follows one partition of a keyed topic: it reads the newest record of each
// key first, and then everything that is appended. If records expire before they were
// read, it starts again with the newest record of each key and reports the keys that
// no longer exist as deleted.
#pragma once

#include "plantainhold/store/StorePort.h"

#include <functional>
#include <string>
#include <unordered_set>

namespace plantainhold {

class EventSink;

class TopicTail {
public:
    // Called for each record in order; an empty value deletes the key.
    using Apply = std::function<void(const StoredRecord&)>;

    // The store and the sink must outlive the tail. The class is not thread-safe.
    TopicTail(StorePort& store, EventSink& events, std::string topic, std::uint32_t partition, Apply apply);

    // Reads up to the end, waiting up to `wait` for a new record. Precondition: no other
    // poll() is in progress.
    boost::asio::awaitable<StoreStatus> poll(Milliseconds wait, Milliseconds timeout);

    // Applies the records that follow the last one read, up to the end, without advancing
    // the position; for a caller that must not wait for the poll in progress. That poll
    // applies the same records again.
    boost::asio::awaitable<StoreStatus> peek(Milliseconds timeout);
    // Makes the next poll start with the newest record of each key.
    void restart() { m_isComplete = false; }

    // Returns whether the whole topic, as of some moment, was read.
    bool isComplete() const { return m_isComplete; }
    // Returns the moment as of which the last successful call read the whole topic, on the
    // clock that includes the time of a suspended machine (BootClock).
    TimePoint currentAsOf() const { return m_currentAsOf; }
    std::uint64_t nextOffset() const { return m_next; }

private:
    boost::asio::awaitable<StoreStatus> rebuild(Milliseconds timeout);
    void apply(const StoredRecord& record);

    StorePort& m_store;
    EventSink& m_events;
    const std::string m_topic;
    const std::uint32_t m_partition;
    Apply m_apply;
    std::unordered_set<std::string> m_keys;
    std::uint64_t m_next = 0;
    bool m_isComplete = false;
    TimePoint m_currentAsOf {};
};

} // namespace plantainhold
