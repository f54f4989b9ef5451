// The one writer of jobs' progress during a term of ownership. Each append carries
// the term's epoch and a sequence number: an append without an answer is repeated
// under the same number until the store says that it is stored, and a newer term's
// epoch ends this one for good.
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
    // Store and records must outlive the writer. isOver tells that the term has
    // ended; nothing is repeated then. Not thread-safe, as the whole class.
    ProgressWriter(boost::asio::any_io_executor executor, StorePort& store, JobRecords& records, std::uint64_t epoch, std::function<bool()> hasEnded);

    // Shuts former owners out. False: try again, or the term is fenced itself.
    boost::asio::awaitable<bool> claim();
    // Stores the records and applies them to this instance's copy. False when the term ended first.
    boost::asio::awaitable<bool> write(std::span<const KeyedRecord> records);
    // One try, also after the term's end; the outcome is not waited for any further.
    boost::asio::awaitable<StoreStatus> writeFinal(std::span<const KeyedRecord> records);

    // A newer owner has written.
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
    // The newest append may or may not be stored.
    bool m_isUncertain = false;
};

} // namespace plantainhold
