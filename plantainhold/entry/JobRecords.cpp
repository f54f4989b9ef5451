#include "plantainhold/entry/JobRecords.h"

#include "plantainhold/entry/JobTopics.h"
#include "plantainhold/jobs/JobScheduler.h"
#include "plantainhold/util/Sleep.h"
#include "plantainhold/util/Spawn.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace plantainhold {

namespace asio = boost::asio;

namespace {
    constexpr Milliseconds s_followWait { 2'000 };
    constexpr Milliseconds s_timeout { 1'000 };
    constexpr Milliseconds s_retryDelay { 100 };
    // Delay between two reads, so that submissions stored close together are read together.
    constexpr Milliseconds s_followInterval { 10 };
} // namespace

// One read of all topics, for which several callers may wait.
struct JobRecords::SharedRead {
    explicit SharedRead(const asio::any_io_executor& executor)
        : signal(executor, TimePoint::max())
    {
    }

    asio::steady_timer signal;
    StoreStatus status = StoreStatus::Unknown;
    bool isDone = false;
};

struct JobRecords::SubmissionPartition {
    explicit SubmissionPartition(TopicTail what)
        : tail(std::move(what))
    {
    }

    TopicTail tail;
    // Set while tail.poll() is in progress; the tail allows one poll at a time.
    bool isPolling = false;
    bool isFollowing = false;
};

JobRecords::JobRecords(asio::any_io_executor executor, StorePort& store, EventSink& events, std::uint32_t submissionPartitions)
    : m_executor(std::move(executor))
    , m_events(events)
    , m_progress(store, events, std::string(s_progressTopic), s_progressPartition, [this](const StoredRecord& it) {
        applyProgressRecord(it.key, it.value, it.offset);
    })
{
    for (std::uint32_t partition = 0; partition < submissionPartitions; ++partition) {
        TopicTail tail(store, events, std::string(s_submissionsTopic), partition, [this](const StoredRecord& it) { applySubmission(it); });
        m_submissions.push_back(std::make_unique<SubmissionPartition>(std::move(tail)));
    }
}

JobRecords::~JobRecords() = default;

void JobRecords::applySubmission(const StoredRecord& record)
{
    std::string_view id = m_jobs.applySubmission(record.key, record.value);
    if (!id.empty() && m_listener)
        m_listener(id);
}

asio::awaitable<StoreStatus> JobRecords::catchUp(Milliseconds timeout)
{
    // The read in flight may miss records that were stored after it was sent.
    std::shared_ptr<SharedRead> read = m_nextRead;
    if (!read) {
        read = std::make_shared<SharedRead>(m_executor);
        m_nextRead = read;
        spawnLogged(m_executor, runRead(read, timeout), m_events, "read records");
    }
    boost::system::error_code ec;
    if (!read->isDone)
        co_await read->signal.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    co_return read->status;
}

asio::awaitable<void> JobRecords::runRead(std::shared_ptr<SharedRead> read, Milliseconds timeout)
{
    boost::system::error_code ec;
    if (std::shared_ptr<SharedRead> previous = m_currentRead) {
        if (!previous->isDone)
            co_await previous->signal.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    }
    m_currentRead = read;
    m_nextRead.reset();
    // Callers wait for the end of this read, also if an exception ends it.
    read->status = co_await resultOr(m_progress.poll(Milliseconds(0), timeout), StoreStatus::Unknown, m_events, "read progress");
    if (read->status == StoreStatus::Ok)
        read->status = co_await readPartitions(timeout);
    read->isDone = true;
    read->signal.cancel();
}

// Reads all partitions concurrently.
asio::awaitable<StoreStatus> JobRecords::readPartitions(Milliseconds timeout)
{
    struct PartitionReads {
        asio::steady_timer signal;
        std::size_t left;
        StoreStatus status;
    };
    auto reads = std::make_shared<PartitionReads>(PartitionReads { asio::steady_timer(m_executor, TimePoint::max()), m_submissions.size(), StoreStatus::Ok });
    for (const auto& it : m_submissions) {
        auto read = [this, reads, partition = it.get(), timeout]() -> asio::awaitable<void> {
            // The poll in progress may wait for new submissions, so that it cannot be waited for here.
            auto call = partition->isPolling ? partition->tail.peek(timeout) : pollPartition(*partition, Milliseconds(0), timeout);
            StoreStatus status = co_await resultOr(std::move(call), StoreStatus::Unknown, m_events, "read submissions");
            if (status != StoreStatus::Ok)
                reads->status = status;
            if (!--reads->left)
                reads->signal.cancel();
        };
        spawnLogged(m_executor, std::move(read), m_events, "read partition");
    }
    boost::system::error_code ec;
    if (reads->left)
        co_await reads->signal.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    co_return reads->status;
}

asio::awaitable<StoreStatus> JobRecords::readSubmission(std::string_view job, Milliseconds timeout)
{
    SubmissionPartition& partition = *m_submissions[submissionPartition(job, static_cast<std::uint32_t>(m_submissions.size()))];
    if (!partition.isPolling)
        co_return co_await pollPartition(partition, Milliseconds(0), timeout);
    // The response of the read in flight may have been sent before the newest record was stored.
    co_return co_await partition.tail.peek(timeout);
}

asio::awaitable<StoreStatus> JobRecords::pollPartition(SubmissionPartition& partition, Milliseconds wait, Milliseconds timeout)
{
    partition.isPolling = true;
    StoreStatus status = co_await resultOr(partition.tail.poll(wait, timeout), StoreStatus::Unknown, m_events, "poll submissions");
    partition.isPolling = false;
    co_return status;
}

void JobRecords::follow()
{
    m_shouldFollow = true;
    for (const auto& it : m_submissions) {
        if (it->isFollowing)
            continue;
        it->isFollowing = true;
        spawnLoop(
            m_executor, [this, partition = it.get()]() { return followLoop(*partition); }, m_events, "submissions");
    }
}

void JobRecords::unfollow()
{
    m_shouldFollow = false;
    // The records that this instance wrote as the owner were not read back from the topic.
    m_progress.restart();
}

asio::awaitable<void> JobRecords::followLoop(SubmissionPartition& partition)
{
    while (m_shouldFollow) {
        StoreStatus status = StoreStatus::Refused;
        if (!partition.isPolling)
            status = co_await pollPartition(partition, s_followWait, s_timeout);
        co_await sleepFor(m_executor, status == StoreStatus::Ok ? s_followInterval : s_retryDelay);
    }
    partition.isFollowing = false;
}

void JobRecords::applyProgressRecord(std::string_view id, std::string_view value, std::uint64_t offset)
{
    if (id == s_ownerKey)
        m_ownerRecord.assign(value);
    else if (id == JobScheduler::s_learnedKey)
        m_learnedRecord.assign(value);
    else
        m_jobs.applyProgress(id, value, offset);
}

} // namespace plantainhold
