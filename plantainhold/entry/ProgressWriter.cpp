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

ProgressWriter::ProgressWriter(asio::any_io_executor executor, const Dependencies& dependencies, std::uint64_t epoch, std::function<bool()> hasEnded)
    : m_executor(std::move(executor))
    , m_dependencies(dependencies)
    , m_epoch(epoch)
    , m_hasEnded(std::move(hasEnded))
    , m_timeout(s_minTimeout, s_maxTimeout)
{
}

asio::awaitable<AppendResult> ProgressWriter::append(std::span<const KeyedRecord> records)
{
    TimePoint sentAt = BootClock::now();
    AppendResult result = co_await m_dependencies.store.append({ s_progressTopic, s_progressPartition }, records, WriterStamp { s_producer, m_epoch, m_sequence }, m_timeout.current());
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

asio::awaitable<ProgressWriter::WriteResult> ProgressWriter::write(std::span<const KeyedRecord> records)
{
    WriteResult result;
    std::vector<KeyedRecord> fitting;
    for (const KeyedRecord& it : records) {
        if (m_dependencies.limits.fits(it))
            fitting.push_back(it);
        else
            noteRefused(it, result);
    }
    for (std::span<const KeyedRecord> it : m_dependencies.limits.appendsOf(fitting)) {
        if (!result.isTermOver)
            co_await writeBatch(it, result);
    }
    co_return result;
}

asio::awaitable<void> ProgressWriter::writeBatch(std::span<const KeyedRecord> records, WriteResult& result)
{
    StoreStatus status = co_await settle(records);
    if (status == StoreStatus::Invalid && records.size() == 1) {
        noteRefused(records.front(), result);
        co_return;
    }
    if (status != StoreStatus::Invalid) {
        result.isTermOver = status != StoreStatus::Ok;
        co_return;
    }
    for (std::size_t i = 0; i < records.size() && !result.isTermOver; ++i)
        co_await writeBatch(records.subspan(i, 1), result);
}

void ProgressWriter::noteRefused(const KeyedRecord& record, WriteResult& result)
{
    ++m_refusedRecords;
    result.refused.push_back(record.key);
    m_dependencies.events.note(EventId::RecordRefused, { { "topic", s_progressTopic }, { "key", record.key }, { "bytes", StoreLimits::sizeOf(record) }, { "limit", m_dependencies.limits.recordBytes } });
}

asio::awaitable<StoreStatus> ProgressWriter::settle(std::span<const KeyedRecord> records)
{
    ++m_sequence;
    m_isUncertain = false;
    while (!m_hasEnded()) {
        AppendResult result = co_await append(records);
        if (result.status == StoreStatus::Ok) {
            m_isUncertain = false;
            std::uint64_t offset = result.firstOffset;
            for (const KeyedRecord& it : records)
                m_dependencies.records.applyProgressRecord(it.key, it.value, offset++);
            co_return StoreStatus::Ok;
        }
        if (m_isFenced)
            co_return StoreStatus::Unknown;
        if (result.status == StoreStatus::Invalid) {
            // Nothing was stored under this number.
            --m_sequence;
            m_isUncertain = false;
            co_return StoreStatus::Invalid;
        }
        if (result.status == StoreStatus::OutOfSequence && !m_isUncertain)
            m_sequence = result.expectedSequence;
        m_isUncertain = m_isUncertain || result.status == StoreStatus::Unknown;
        co_await sleepFor(m_executor, s_retryDelay);
    }
    // The append is not repeated after the term's end, so it may or may not be stored.
    m_isUncertain = true;
    co_return StoreStatus::Unknown;
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
    m_refusedRecords += result.status == StoreStatus::Invalid ? records.size() : 0;
    co_return result.status;
}

} // namespace plantainhold
