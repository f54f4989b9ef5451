#include "plantainhold/entry/JobRecords.h"

#include "plantainhold/jobs/JobScheduler.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace plantainhold {

namespace asio = boost::asio;

namespace {
    constexpr std::uint32_t s_part = 0;
    constexpr Milliseconds s_followWait { 2'000 };
    constexpr Milliseconds s_timeout { 1'000 };
    constexpr Milliseconds s_retryPause { 100 };
    // Submissions that come close together are read together.
    constexpr Milliseconds s_followPause { 10 };
} // namespace

// One read of both topics that several callers wait for.
struct JobRecords::Round {
    explicit Round(const asio::any_io_executor& executor)
        : signal(executor, TimePoint::max())
    {
    }

    asio::steady_timer signal;
    StoreStatus status = StoreStatus::Unknown;
    bool isDone = false;
};

JobRecords::JobRecords(asio::any_io_executor executor, StorePort& store, EventSink& events)
    : m_executor(std::move(executor))
    , m_submissions(store, events, std::string(s_submissionsTopic), s_part, [this](const StoredRecord& it) { applySubmission(it); })
    , m_progress(store, events, std::string(s_progressTopic), s_part, [this](const StoredRecord& it) {
        applyOwnProgress(it.key, it.value, it.offset);
    })
{
}

void JobRecords::applySubmission(const StoredRecord& record)
{
    std::string_view id = m_book.applySubmission(record.key, record.value, record.offset);
    if (!id.empty() && m_listener)
        m_listener(id);
}

asio::awaitable<StoreStatus> JobRecords::catchUp(Milliseconds timeout)
{
    // A read that was sent before this call may miss what was stored since.
    std::shared_ptr<Round> round = m_nextRound;
    if (!round) {
        round = std::make_shared<Round>(m_executor);
        m_nextRound = round;
        asio::co_spawn(m_executor, readRound(round, timeout), asio::detached);
    }
    boost::system::error_code ec;
    if (!round->isDone)
        co_await round->signal.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    co_return round->status;
}

asio::awaitable<void> JobRecords::readRound(std::shared_ptr<Round> round, Milliseconds timeout)
{
    boost::system::error_code ec;
    if (std::shared_ptr<Round> before = m_currentRound) {
        if (!before->isDone)
            co_await before->signal.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    }
    m_currentRound = round;
    m_nextRound.reset();
    round->status = co_await m_progress.poll(Milliseconds(0), timeout);
    // A read that waits for submissions brings them as they come.
    if (round->status == StoreStatus::Ok && !m_isPollingSubmissions)
        round->status = co_await pollSubmissions(Milliseconds(0), timeout);
    round->isDone = true;
    round->signal.cancel();
}

asio::awaitable<StoreStatus> JobRecords::readSubmissions(Milliseconds timeout)
{
    if (!m_isPollingSubmissions)
        co_return co_await pollSubmissions(Milliseconds(0), timeout);
    // The read on its way may have been answered before the last record was stored.
    co_return co_await m_submissions.peek(timeout);
}

asio::awaitable<StoreStatus> JobRecords::pollSubmissions(Milliseconds wait, Milliseconds timeout)
{
    m_isPollingSubmissions = true;
    StoreStatus status = co_await m_submissions.poll(wait, timeout);
    m_isPollingSubmissions = false;
    co_return status;
}

void JobRecords::follow()
{
    m_wantsToFollow = true;
    if (m_isFollowing)
        return;
    m_isFollowing = true;
    asio::co_spawn(m_executor, followLoop(), asio::detached);
}

void JobRecords::unfollow()
{
    m_wantsToFollow = false;
    // What this instance wrote as the owner was not read back.
    m_progress.restart();
}

asio::awaitable<void> JobRecords::followLoop()
{
    while (m_wantsToFollow) {
        // A tail takes one call at a time.
        StoreStatus status = StoreStatus::Refused;
        if (!m_isPollingSubmissions)
            status = co_await pollSubmissions(s_followWait, s_timeout);
        asio::steady_timer pause(m_executor, status == StoreStatus::Ok ? s_followPause : s_retryPause);
        boost::system::error_code ec;
        co_await pause.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    }
    m_isFollowing = false;
}

void JobRecords::applyOwnProgress(std::string_view id, std::string_view value, std::uint64_t offset)
{
    if (id == s_ownerKey)
        m_ownerRecord.assign(value);
    else if (id == JobScheduler::s_learnedKey)
        m_learnedRecord.assign(value);
    else
        m_book.applyProgress(id, value, offset);
}

} // namespace plantainhold
