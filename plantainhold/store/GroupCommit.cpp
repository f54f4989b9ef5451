#include "plantainhold/store/GroupCommit.h"

#include "plantainhold/store/StoreGate.h"
#include "plantainhold/util/Sleep.h"
#include "plantainhold/util/Spawn.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace plantainhold {

namespace asio = boost::asio;

namespace {

    // A larger append would delay those that wait for it.
    constexpr std::size_t s_maxBatchBytes = 1 << 20;
    constexpr std::size_t s_maxQueue = 4'000;
    constexpr Milliseconds s_minTimeout { 800 };
    constexpr Milliseconds s_maxTimeout { 2'500 };
    constexpr Milliseconds s_retryDelay { 60 };
    constexpr Milliseconds s_holdStep { 10 };

} // namespace

struct GroupCommit::Pending {
    Pending(const asio::any_io_executor& executor, KeyedRecord what, TimePoint until)
        : record(std::move(what))
        , signal(executor, until)
    {
    }

    KeyedRecord record;
    asio::steady_timer signal;
    StoreStatus status = StoreStatus::Refused;
    bool isDone = false;
    // Set if an append with this record had no response, so that it may be stored.
    bool isUncertain = false;
};

GroupCommit::GroupCommit(asio::any_io_executor executor, StoreGate& gate, EventSink& events, const StoreLimits& limits, std::string topic, std::uint32_t partition)
    : m_executor(std::move(executor))
    , m_gate(gate)
    , m_events(events)
    , m_limits(limits)
    , m_topic(std::move(topic))
    , m_partition(partition)
    , m_timeout(s_minTimeout, s_maxTimeout)
{
    m_gate.onOpened([this]() { refuseUnsent(); });
}

GroupCommit::~GroupCommit() = default;

asio::awaitable<StoreStatus> GroupCommit::put(KeyedRecord record, TimePoint deadline)
{
    if (m_queue.size() >= s_maxQueue)
        co_return StoreStatus::Refused;
    auto pending = std::make_shared<Pending>(m_executor, std::move(record), deadline);
    if (!m_limits.fits(pending->record)) {
        finishRefused(*pending);
        co_return StoreStatus::Invalid;
    }
    if (m_gate.state() == CircuitState::Open) {
        m_gate.countRefused(1);
        co_return StoreStatus::Refused;
    }
    m_queue.push_back(pending);
    if (!m_isFlushing) {
        m_isFlushing = true;
        // Records of an append that an exception ended remain unknown to their callers.
        spawnLoop(
            m_executor, [this]() { return flush(); }, m_events, "append");
    }
    boost::system::error_code ec;
    // The append may already have ended before this call starts to wait.
    if (!pending->isDone)
        co_await pending->signal.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    if (pending->isDone)
        co_return pending->status;
    pending->isDone = true;
    // A record that is still queued, and not uncertain, was not part of any append and will not be.
    if (std::erase(m_queue, pending) && !pending->isUncertain)
        co_return StoreStatus::Refused;
    co_return StoreStatus::Unknown;
}

GroupCommit::Batch GroupCommit::takeBatch()
{
    Batch batch;
    const std::size_t limit = std::min(m_limits.callBytes, s_maxBatchBytes);
    std::size_t bytes = 0;
    while (!m_queue.empty()) {
        bytes += StoreLimits::sizeOf(m_queue.front()->record);
        bool isFull = bytes > limit || m_singles;
        // A record that was never sent is not put at risk together with those that may be stored.
        bool isOfOtherKind = !batch.empty() && batch.front()->isUncertain != m_queue.front()->isUncertain;
        if (isOfOtherKind || (isFull && !batch.empty()))
            break;
        batch.push_back(std::move(m_queue.front()));
        m_queue.pop_front();
    }
    m_singles -= std::min(m_singles, batch.size());
    return batch;
}

void GroupCommit::finish(Pending& pending, StoreStatus status)
{
    if (pending.isDone)
        return;
    pending.isDone = true;
    pending.status = status;
    pending.signal.cancel();
}

void GroupCommit::finishRefused(Pending& pending)
{
    m_events.note(EventId::RecordRefused, { { "topic", m_topic }, { "key", pending.record.key }, { "bytes", StoreLimits::sizeOf(pending.record) }, { "limit", m_limits.recordBytes } });
    finish(pending, StoreStatus::Invalid);
}

asio::awaitable<void> GroupCommit::flush()
{
    while (!m_queue.empty()) {
        co_await waitWhileHeld();
        // What was waiting may have been refused meanwhile.
        if (!m_queue.empty())
            co_await append(takeBatch());
    }
    m_isFlushing = false;
}

asio::awaitable<void> GroupCommit::waitWhileHeld()
{
    while (!m_queue.empty() && !m_queue.front()->isUncertain && m_gate.state() == CircuitState::Held) {
        m_gate.ensureProbing();
        co_await sleepFor(m_executor, s_holdStep);
    }
}

void GroupCommit::refuseUnsent()
{
    auto isUnsent = [](const auto& it) { return !it->isUncertain; };
    std::size_t refused = 0;
    for (const auto& it : m_queue) {
        if (!isUnsent(it))
            continue;
        finish(*it, StoreStatus::Refused);
        ++refused;
    }
    std::erase_if(m_queue, isUnsent);
    m_singles = std::min(m_singles, m_queue.size());
    m_gate.countRefused(refused);
}

asio::awaitable<void> GroupCommit::append(Batch batch)
{
    std::vector<KeyedRecord> records;
    for (const auto& it : batch)
        records.push_back(it->record);
    TimePoint sentAt = std::chrono::steady_clock::now();
    AppendResult result = co_await m_gate.append(m_partition, records, m_timeout.current());
    if (result.status == StoreStatus::Unknown)
        m_timeout.recordTimeout();
    else
        m_timeout.recordResponse(std::chrono::steady_clock::now() - sentAt);
    if (result.status == StoreStatus::Ok) {
        for (const auto& it : batch)
            finish(*it, StoreStatus::Ok);
        co_return;
    }
    // One record of several may be the cause.
    if (result.status == StoreStatus::Invalid && batch.size() > 1) {
        m_singles += batch.size();
        m_queue.insert(m_queue.begin(), batch.begin(), batch.end());
        co_return;
    }
    bool isUncertain = result.status == StoreStatus::Unknown;
    for (const auto& it : batch) {
        it->isUncertain = it->isUncertain || isUncertain;
        if (it->isUncertain)
            continue;
        if (result.status == StoreStatus::Invalid)
            finishRefused(*it);
        else
            finish(*it, StoreStatus::Refused);
    }
    // Records that may already be stored are appended again until the caller's deadline.
    std::erase_if(batch, [](const auto& it) { return it->isDone; });
    // After a refusal those that were never sent go first, so that they learn of it as soon.
    m_queue.insert(isUncertain ? m_queue.begin() : m_queue.end(), batch.begin(), batch.end());
    if (!batch.empty())
        co_await sleepFor(m_executor, s_retryDelay);
}

} // namespace plantainhold
