// GroupCommit appends the records of many callers together: one append is in flight at
// a time, and records that arrive meanwhile are sent with the next one. Appends may be
// repeated, because records with equal keys carry equal values.
#pragma once

#include "plantainhold/store/AdaptiveTimeout.h"
#include "plantainhold/store/StorePort.h"

#include <boost/asio/any_io_executor.hpp>
#include <deque>
#include <memory>
#include <string>

namespace plantainhold {

class EventSink;

class GroupCommit {
public:
    // The store and the sink must outlive the object. The class is not thread-safe.
    GroupCommit(boost::asio::any_io_executor executor, StorePort& store, EventSink& events, std::string topic, std::uint32_t partition);
    ~GroupCommit();

    // Returns Ok if the record is stored, Refused if it was not stored and never will be,
    // and Unknown if the deadline passed while an append had no response.
    boost::asio::awaitable<StoreStatus> put(KeyedRecord record, TimePoint deadline);

private:
    struct Pending;

    boost::asio::awaitable<void> flush();
    void finish(Pending& pending, StoreStatus status);
    std::vector<std::shared_ptr<Pending>> takeBatch();

    boost::asio::any_io_executor m_executor;
    StorePort& m_store;
    EventSink& m_events;
    const std::string m_topic;
    const std::uint32_t m_partition;
    std::deque<std::shared_ptr<Pending>> m_queue;
    bool m_isFlushing = false;
    AdaptiveTimeout m_timeout;
};

} // namespace plantainhold
