// ProgressWriter is the only writer of the jobs' progress during a term of ownership.
// Each append carries the term's epoch and a sequence number. An append without a
// response is repeated with the same sequence number until the store confirms it. The
// epoch of a newer term fences this writer permanently. A record that the store refuses for
// what it contains is refused again whenever it is repeated, so it is left out and named to
// the caller, and the others are stored.
#pragma once

#include "plantainhold/base/EventSink.h"
#include "plantainhold/store/AdaptiveTimeout.h"
#include "plantainhold/store/StoreLimits.h"
#include "plantainhold/store/StorePort.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <functional>
#include <span>
#include <string>
#include <vector>

namespace plantainhold {

class JobRecords;

class ProgressWriter {
public:
    struct Dependencies {
        StorePort& store;
        JobRecords& records;
        EventSink& events;
        StoreLimits limits;
    };

    // What the dependencies refer to must outlive the writer. hasEnded returns whether the term
    // has ended, after which no append is repeated. The class is not thread-safe.
    ProgressWriter(boost::asio::any_io_executor executor, const Dependencies& dependencies, std::uint64_t epoch, std::function<bool()> hasEnded);

    struct WriteResult {
        // The term ended, or was fenced, before all records were stored.
        bool isTermOver = false;
        // Keys of the records that the store does not take. All others are stored unless the term is over.
        std::vector<std::string> refused;

        bool areAllStored() const { return !isTermOver && refused.empty(); }
    };

    // Fences former owners. Returns false if the call has to be retried or this term is
    // itself fenced.
    boost::asio::awaitable<bool> claim();
    // Stores the records, in their order, in as many appends as their sizes ask for, and
    // applies them to this instance's copy.
    boost::asio::awaitable<WriteResult> write(std::span<const KeyedRecord> records);
    // Makes a single attempt to store the records, which is allowed after the term's end.
    boost::asio::awaitable<StoreStatus> writeFinal(std::span<const KeyedRecord> records);

    // Returns whether a newer owner has written.
    bool isFenced() const { return m_isFenced; }
    // Number of records that the store did not take.
    std::uint64_t refusedRecords() const { return m_refusedRecords; }

private:
    boost::asio::awaitable<AppendResult> append(std::span<const KeyedRecord> records);
    // Repeats one append until its outcome is known. Returns Ok, Invalid if the store refuses what it contains, or
    // Unknown if the term ended first.
    boost::asio::awaitable<StoreStatus> settle(std::span<const KeyedRecord> records);
    // Stores the records of one append; one by one if the store refuses them together.
    boost::asio::awaitable<void> writeBatch(std::span<const KeyedRecord> records, WriteResult& result);
    void noteRefused(const KeyedRecord& record, WriteResult& result);

    boost::asio::any_io_executor m_executor;
    const Dependencies m_dependencies;
    const std::uint64_t m_epoch;
    std::function<bool()> m_hasEnded;
    std::uint64_t m_sequence = 0;
    AdaptiveTimeout m_timeout;
    bool m_isFenced = false;
    // Set if the newest append may or may not be stored.
    bool m_isUncertain = false;
    std::uint64_t m_refusedRecords = 0;
};

} // namespace plantainhold
