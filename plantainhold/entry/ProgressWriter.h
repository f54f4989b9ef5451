// ProgressWriter is the only writer of the jobs' progress during a term of ownership.
// Each append carries the term's epoch and a sequence number. An append without a
// response is repeated with the same sequence number until the store confirms it. The
// epoch of a newer term fences this writer permanently.
#pragma once

#include "plantainhold/store/AdaptiveTimeout.h"
#include "plantainhold/store/StorePort.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <functional>
#include <span>

namespace plantainhold {

class JobRecords;

class ProgressWriter {
public:
    // Store and records must outlive the writer. hasEnded returns whether the term has
    // ended, after which no append is repeated. The class is not thread-safe.
    ProgressWriter(boost::asio::any_io_executor executor, StorePort& store, JobRecords& records, std::uint64_t epoch, std::function<bool()> hasEnded);

    // Fences former owners. Returns false if the call has to be retried or this term is
    // itself fenced.
    boost::asio::awaitable<bool> claim();
    // Stores the records and applies them to this instance's copy. Returns false if the
    // term ended or was fenced first.
    boost::asio::awaitable<bool> write(std::span<const KeyedRecord> records);
    // Makes a single attempt to store the records, which is allowed after the term's end.
    boost::asio::awaitable<StoreStatus> writeFinal(std::span<const KeyedRecord> records);

    // Returns whether a newer owner has written.
    bool isFenced() const { return m_isFenced; }

private:
    boost::asio::awaitable<AppendResult> append(std::span<const KeyedRecord> records);

    boost::asio::any_io_executor m_executor;
    StorePort& m_store;
    JobRecords& m_records;
    const std::uint64_t m_epoch;
    std::function<bool()> m_hasEnded;
    std::uint64_t m_sequence = 0;
    AdaptiveTimeout m_timeout;
    bool m_isFenced = false;
    // Set if the newest append may or may not be stored.
    bool m_isUncertain = false;
};

} // namespace plantainhold
