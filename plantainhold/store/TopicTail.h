// Follows one partition of a keyed topic: first the newest record of each key, then
// all that is appended. When history expires before it was read, it begins anew;
// keys that are gone by then are reported as dropped.
#pragma once

#include "plantainhold/store/StorePort.h"

#include <functional>
#include <string>
#include <unordered_set>

namespace plantainhold {

class EventSink;

class TopicTail {
public:
    // Called for each record in order; an empty value drops the key.
    using Apply = std::function<void(const StoredRecord&)>;

    // The store and the sink must outlive the tail. Not thread-safe, as the whole class.
    TopicTail(StorePort& store, EventSink& events, std::string topic, std::uint32_t partition, Apply apply);

    // Reads on until the end, waiting up to `wait` for something new. One call at a time.
    boost::asio::awaitable<StoreStatus> poll(Milliseconds wait, Milliseconds timeout);

    // Applies what stands behind the last record that was read, up to the end, without
    // moving on: for a caller that must not wait for the poll on its way. Records are
    // applied again when that poll brings them.
    boost::asio::awaitable<StoreStatus> peek(Milliseconds timeout);
    // The next poll begins with the newest record of each key.
    void restart() { m_isComplete = false; }

    // True once everything that stood in the topic at some moment was read.
    bool isComplete() const { return m_isComplete; }
    // When that moment was, at the latest call that succeeded; by the clock that
    // counts suspension.
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
