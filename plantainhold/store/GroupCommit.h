// Appends records of many callers together: one append is on its way at a time,
// and what arrives meanwhile goes with the next. Repeating an append is harmless
// here, as equal keys carry equal values.
#pragma once

#include "plantainhold/store/AdaptiveTimeout.h"
#include "plantainhold/store/StorePort.h"

#include <boost/asio/any_io_executor.hpp>
#include <deque>
#include <memory>
#include <string>

namespace plantainhold {

class GroupCommit {
public:
    // The store must outlive the object. Not thread-safe, as the whole class.
    GroupCommit(boost::asio::any_io_executor executor, StorePort& store, std::string topic, std::uint32_t partition);
    ~GroupCommit();

    // Ok: stored. Refused: certainly not stored and never will be. Unknown: the
    // deadline passed while an append had no answer.
    boost::asio::awaitable<StoreStatus> put(KeyedRecord record, TimePoint deadline);

private:
    struct Pending;

    boost::asio::awaitable<void> flush();
    void finish(Pending& pending, StoreStatus status);
    std::vector<std::shared_ptr<Pending>> takeBatch();

    boost::asio::any_io_executor m_executor;
    StorePort& m_store;
    const std::string m_topic;
    const std::uint32_t m_partition;
    std::deque<std::shared_ptr<Pending>> m_queue;
    bool m_isFlushing = false;
    AdaptiveTimeout m_timeout;
};

} // namespace plantainhold
