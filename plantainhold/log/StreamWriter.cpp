// Collects submitted records into batches and appends them on a thread of its own.

#include "plantainhold/log/StreamWriter.h"

#include "plantainhold/proto/log.pb.h"

#include <algorithm>
#include <iterator>

namespace plantainhold {

namespace {

    constexpr std::size_t s_pendingLimitBytes = 16 << 20;
    constexpr std::size_t s_batchLimitBytes = 512 << 10;
    constexpr Milliseconds s_maxBackoffInterval { 500 };

} // namespace

StreamWriter::StreamWriter(LogPort& log, std::string stream, Milliseconds interval, Milliseconds timeout)
    : m_log(log)
    , m_stream(std::move(stream))
    , m_interval(interval)
    , m_timeout(timeout)
    , m_currentInterval(interval)
    , m_thread([this] { run(); })
{
}

StreamWriter::~StreamWriter()
{
    {
        std::lock_guard lock(m_mutex);
        m_isStopping = true;
    }
    m_wakeUp.notify_all();
    m_thread.join();
}

bool StreamWriter::submit(std::string record, Callback callback)
{
    {
        std::lock_guard lock(m_mutex);
        if (m_isStopping || m_pendingBytes + record.size() > s_pendingLimitBytes)
            return false;
        m_pendingBytes += record.size();
        m_pending.push_back({ std::move(record), std::move(callback) });
    }
    m_wakeUp.notify_one();
    return true;
}

void StreamWriter::run()
{
    std::unique_lock lock(m_mutex);
    auto nextAppend = std::chrono::steady_clock::now();
    while (true) {
        m_wakeUp.wait(lock, [this] { return m_isStopping || !m_pending.empty(); });
        if (m_pending.empty())
            return;
        m_wakeUp.wait_until(lock, nextAppend, [this] { return m_isStopping; });
        std::vector<Pending> batch = takeBatch();
        lock.unlock();
        nextAppend = std::chrono::steady_clock::now() + m_currentInterval;
        adjustInterval(commit(batch));
        lock.lock();
    }
}

// The log's append rate limit is shared by all instances, so an instance whose appends
// are refused doubles its interval; every other outcome halves it again.
void StreamWriter::adjustInterval(AppendStatus status)
{
    if (status == AppendStatus::Refused)
        m_currentInterval = std::min(m_currentInterval * 2, std::max(s_maxBackoffInterval, m_interval));
    else
        m_currentInterval = std::max(m_currentInterval / 2, m_interval);
}

std::vector<StreamWriter::Pending> StreamWriter::takeBatch()
{
    std::size_t bytes = 0;
    auto it = m_pending.begin();
    while (it != m_pending.end() && (bytes == 0 || bytes + it->record.size() <= s_batchLimitBytes)) {
        bytes += it->record.size();
        ++it;
    }
    std::vector<Pending> batch(std::make_move_iterator(m_pending.begin()), std::make_move_iterator(it));
    m_pending.erase(m_pending.begin(), it);
    m_pendingBytes -= bytes;
    return batch;
}

AppendStatus StreamWriter::commit(std::vector<Pending>& batch)
{
    log::RecordBatch message;
    for (Pending& it : batch)
        message.add_records(std::move(it.record));
    AppendOutcome outcome = m_log.append(m_stream, message.SerializeAsString(), m_timeout);
    for (const Pending& it : batch) {
        if (it.callback)
            it.callback(outcome);
    }
    return outcome.status;
}

} // namespace plantainhold
