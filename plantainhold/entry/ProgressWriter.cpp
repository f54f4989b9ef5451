#include "plantainhold/entry/ProgressWriter.h"

#include "plantainhold/entry/JobRecords.h"
#include "plantainhold/entry/JobTopics.h"
#include "plantainhold/util/BootClock.h"
#include "plantainhold/util/Sleep.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace plantainhold {

namespace asio = boost::asio;

namespace {
    constexpr std::string_view s_producer = "owner";
    constexpr Milliseconds s_minTimeout { 800 };
    constexpr Milliseconds s_maxTimeout { 2'500 };
    constexpr Milliseconds s_retryDelay { 50 };
} // namespace

ProgressWriter::ProgressWriter(asio::any_io_executor executor, StorePort& store, JobRecords& records, std::uint64_t epoch, std::function<bool()> hasEnded)
    : m_executor(std::move(executor))
    , m_store(store)
    , m_records(records)
    , m_epoch(epoch)
    , m_hasEnded(std::move(hasEnded))
    , m_timeout(s_minTimeout, s_maxTimeout)
{
}

asio::awaitable<AppendResult> ProgressWriter::append(std::span<const KeyedRecord> records)
{
    TimePoint sentAt = BootClock::now();
    AppendResult result = co_await m_store.append({ s_progressTopic, s_progressPartition }, records, WriterStamp { s_producer, m_epoch, m_sequence }, m_timeout.current());
    if (result.status == StoreStatus::Unknown)
        m_timeout.recordTimeout();
    else
        m_timeout.recordResponse(BootClock::now() - sentAt);
    m_isFenced = m_isFenced || result.status == StoreStatus::Fenced;
    co_return result;
}

asio::awaitable<bool> ProgressWriter::claim()
{
    // An append without records only sets the epoch.
    AppendResult result = co_await append({});
    if (result.status == StoreStatus::OutOfSequence)
        m_sequence = result.expectedSequence;
    co_return result.status == StoreStatus::Ok || result.status == StoreStatus::OutOfSequence;
}

asio::awaitable<bool> ProgressWriter::write(std::span<const KeyedRecord> records)
{
    ++m_sequence;
    m_isUncertain = false;
    while (!m_hasEnded()) {
        AppendResult result = co_await append(records);
        if (result.status == StoreStatus::Ok) {
            m_isUncertain = false;
            std::uint64_t offset = result.firstOffset;
            for (const KeyedRecord& it : records)
                m_records.applyProgressRecord(it.key, it.value, offset++);
            co_return true;
        }
        if (m_isFenced)
            co_return false;
        if (result.status == StoreStatus::OutOfSequence && !m_isUncertain)
            m_sequence = result.expectedSequence;
        m_isUncertain = m_isUncertain || result.status == StoreStatus::Unknown;
        co_await sleepFor(m_executor, s_retryDelay);
    }
    // The append is not repeated after the term's end, so it may or may not be stored.
    m_isUncertain = true;
    co_return false;
}

asio::awaitable<StoreStatus> ProgressWriter::writeFinal(std::span<const KeyedRecord> records)
{
    if (m_isFenced)
        co_return StoreStatus::Fenced;
    // After an append with an unknown outcome, the next valid sequence number is not known.
    if (m_isUncertain)
        co_return StoreStatus::Unknown;
    ++m_sequence;
    AppendResult result = co_await append(records);
    co_return result.status;
}

} // namespace plantainhold
