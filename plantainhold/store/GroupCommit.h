// GroupCommit appends the records of many callers together: one append is in flight at
// a time, and records that arrive meanwhile are sent with the next one. Appends may be
// repeated, because records with equal keys carry equal values. A record that the store
// refuses for what it contains is refused to its caller alone. While the store is away
// (StoreGate), records that were never sent are refused at once, and those that may be
// stored already are repeated, without new ones.
#pragma once

#include "plantainhold/store/AdaptiveTimeout.h"
#include "plantainhold/store/StoreLimits.h"
#include "plantainhold/store/StorePort.h"

#include <boost/asio/any_io_executor.hpp>
#include <deque>
#include <memory>
#include <string>

namespace plantainhold {

class EventSink;
class StoreGate;

class GroupCommit {
public:
    // The gate, which the writers of all partitions share, and the sink must outlive the object, and the gate
    // may append only as long as the object lives. The topic is the gate's. The class is not thread-safe.
    GroupCommit(boost::asio::any_io_executor executor, StoreGate& gate, EventSink& events, const StoreLimits& limits, std::string topic, std::uint32_t partition);
    ~GroupCommit();

    // Returns Ok if the record is stored, Refused if it was not stored and never will be,
    // Invalid if the store takes no such record, so that another attempt is in vain, and
    // Unknown if the deadline passed while an append had no response.
    boost::asio::awaitable<StoreStatus> put(KeyedRecord record, TimePoint deadline);

private:
    struct Pending;

    using Batch = std::vector<std::shared_ptr<Pending>>;

    boost::asio::awaitable<void> flush();
    // Appends the records of one batch once. Those that may be stored are returned to the queue.
    boost::asio::awaitable<void> append(Batch batch);
    // Waits while the circuit holds records back, unless the next append repeats records that may be stored.
    boost::asio::awaitable<void> waitWhileHeld();
    // Refuses the records that were never sent.
    void refuseUnsent();
    void finish(Pending& pending, StoreStatus status);
    void finishRefused(Pending& pending);
    // Takes the records of the next append: either such as may be stored already, or such as were never sent.
    Batch takeBatch();

    boost::asio::any_io_executor m_executor;
    StoreGate& m_gate;
    EventSink& m_events;
    const StoreLimits m_limits;
    const std::string m_topic;
    const std::uint32_t m_partition;
    std::deque<std::shared_ptr<Pending>> m_queue;
    bool m_isFlushing = false;
    // Number of records to append one by one, since the store refused them together.
    std::size_t m_singles = 0;
    AdaptiveTimeout m_timeout;
};

} // namespace plantainhold
