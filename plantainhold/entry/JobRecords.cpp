#include "plantainhold/entry/JobRecords.h"

#include "plantainhold/entry/JobTopics.h"
#include "plantainhold/jobs/JobScheduler.h"
#include "plantainhold/util/Sleep.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace plantainhold {

namespace asio = boost::asio;

namespace {
    constexpr Milliseconds s_followWait { 2'000 };
    constexpr Milliseconds s_timeout { 1'000 };
    constexpr Milliseconds s_retryPause { 100 };
    // Submissions that come close together are read together.
    constexpr Milliseconds s_followPause { 10 };
} // namespace

// One read of all topics that several callers wait for.
struct JobRecords::Round {
    explicit Round(const asio::any_io_executor& executor)
        : signal(executor, TimePoint::max())
    {
    }

    asio::steady_timer signal;
    StoreStatus status = StoreStatus::Unknown;
    bool isDone = false;
};

struct JobRecords::SubmissionPart {
    explicit SubmissionPart(TopicTail what)
        : tail(std::move(what))
    {
    }

    TopicTail tail;
    // A tail takes one call at a time.
    bool isPolling = false;
    bool isFollowing = false;
};

JobRecords::JobRecords(asio::any_io_executor executor, StorePort& store, EventSink& events, std::uint32_t submissionParts)
    : m_executor(std::move(executor))
    , m_progress(store, events, std::string(s_progressTopic), s_progressPart, [this](const StoredRecord& it) {
        applyOwnProgress(it.key, it.value, it.offset);
    })
{
    for (std::uint32_t part = 0; part < submissionParts; ++part) {
        TopicTail tail(store, events, std::string(s_submissionsTopic), part, [this](const StoredRecord& it) { applySubmission(it); });
        m_submissions.push_back(std::make_unique<SubmissionPart>(std::move(tail)));
    }
}

JobRecords::~JobRecords() = default;

void JobRecords::applySubmission(const StoredRecord& record)
{
    std::string_view id = m_book.applySubmission(record.key, record.value);
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
    if (round->status == StoreStatus::Ok)
        round->status = co_await readParts(timeout);
    round->isDone = true;
    round->signal.cancel();
}

// All partitions at the same time.
asio::awaitable<StoreStatus> JobRecords::readParts(Milliseconds timeout)
{
    struct Parts {
        asio::steady_timer signal;
        std::size_t left;
        StoreStatus status;
    };
    auto parts = std::make_shared<Parts>(Parts { asio::steady_timer(m_executor, TimePoint::max()), m_submissions.size(), StoreStatus::Ok });
    for (const auto& it : m_submissions) {
        auto read = [this, parts, part = it.get(), timeout]() -> asio::awaitable<void> {
            // A read that waits for submissions brings them as they come.
            StoreStatus status = part->isPolling ? co_await part->tail.peek(timeout) : co_await pollPart(*part, Milliseconds(0), timeout);
            if (status != StoreStatus::Ok)
                parts->status = status;
            if (!--parts->left)
                parts->signal.cancel();
        };
        asio::co_spawn(m_executor, std::move(read), asio::detached);
    }
    boost::system::error_code ec;
    if (parts->left)
        co_await parts->signal.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    co_return parts->status;
}

asio::awaitable<StoreStatus> JobRecords::readSubmission(std::string_view job, Milliseconds timeout)
{
    SubmissionPart& part = *m_submissions[submissionPart(job, static_cast<std::uint32_t>(m_submissions.size()))];
    if (!part.isPolling)
        co_return co_await pollPart(part, Milliseconds(0), timeout);
    // The read on its way may have been answered before the last record was stored.
    co_return co_await part.tail.peek(timeout);
}

asio::awaitable<StoreStatus> JobRecords::pollPart(SubmissionPart& part, Milliseconds wait, Milliseconds timeout)
{
    part.isPolling = true;
    StoreStatus status = co_await part.tail.poll(wait, timeout);
    part.isPolling = false;
    co_return status;
}

void JobRecords::follow()
{
    m_wantsToFollow = true;
    for (const auto& it : m_submissions) {
        if (it->isFollowing)
            continue;
        it->isFollowing = true;
        asio::co_spawn(m_executor, followLoop(*it), asio::detached);
    }
}

void JobRecords::unfollow()
{
    m_wantsToFollow = false;
    // What this instance wrote as the owner was not read back.
    m_progress.restart();
}

asio::awaitable<void> JobRecords::followLoop(SubmissionPart& part)
{
    while (m_wantsToFollow) {
        StoreStatus status = StoreStatus::Refused;
        if (!part.isPolling)
            status = co_await pollPart(part, s_followWait, s_timeout);
        co_await sleepFor(m_executor, status == StoreStatus::Ok ? s_followPause : s_retryPause);
    }
    part.isFollowing = false;
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
