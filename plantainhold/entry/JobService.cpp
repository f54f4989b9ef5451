#include "plantainhold/entry/JobService.h"

#include "plantainhold/entry/OwnerDirectory.h"
#include "plantainhold/entry/PeerDirectory.h"
#include "plantainhold/entry/SubmissionWriter.h"
#include "plantainhold/jobs/JobCodec.h"
#include "plantainhold/util/BootClock.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace plantainhold {

namespace asio = boost::asio;

namespace {
    constexpr std::string_view s_cancelMark = "1";
    // What the caller's patience leaves for the answer's way back.
    constexpr Milliseconds s_answerReserve { 150 };
    constexpr Milliseconds s_leastPatience { 100 };
    constexpr Milliseconds s_mostPatience { 10'000 };
    // The owner is asked too when this part of a caller's time is left.
    constexpr int s_forwardPart = 2;
    // A cancellation is stored even if nobody can tell in time whether the job exists.
    constexpr Milliseconds s_cancelLookup { 800 };

    TimePoint deadlineFor(Milliseconds patience)
    {
        return std::chrono::steady_clock::now() + std::clamp(patience - s_answerReserve, s_leastPatience, s_mostPatience);
    }
} // namespace

JobService::JobService(SubmissionWriter& writer, OwnerDirectory& own, PeerDirectory& peers, EventSink& events)
    : m_own(own)
    , m_peers(peers)
    , m_events(events)
    , m_writer(writer)
{
}

// One append of this instance's own, which goes on while the owner is asked.
struct JobService::Attempt {
    explicit Attempt(const asio::any_io_executor& executor)
        : signal(executor)
    {
    }

    // Returns when the append has ended, or at this moment.
    asio::awaitable<void> waitUntil(TimePoint when)
    {
        signal.expires_at(when);
        boost::system::error_code ec;
        if (!isDone)
            co_await signal.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    }

    asio::steady_timer signal;
    StoreStatus status = StoreStatus::Unknown;
    bool isDone = false;
};

asio::awaitable<void> JobService::append(std::shared_ptr<Attempt> attempt, JobQuestion question, TimePoint deadline)
{
    attempt->status = co_await m_writer.put(std::move(question), deadline);
    attempt->isDone = true;
    attempt->signal.cancel();
}

asio::awaitable<StoreStatus> JobService::store(JobQuestion question, TimePoint deadline)
{
    auto executor = co_await asio::this_coro::executor;
    auto left = [deadline]() { return std::chrono::duration_cast<Milliseconds>(deadline - std::chrono::steady_clock::now()); };
    auto attempt = std::make_shared<Attempt>(executor);
    asio::co_spawn(executor, append(attempt, question, deadline), asio::detached);
    co_await attempt->waitUntil(m_own.isAuthoritative() ? deadline : deadline - left() / s_forwardPart);
    question.patience = left();
    if (attempt->isDone && (attempt->status == StoreStatus::Ok || m_own.isAuthoritative()))
        co_return attempt->status;
    if (question.patience < s_leastPatience)
        co_return attempt->status;
    // Equal keys carry equal values, so that storing it twice changes nothing.
    JobReply reply = co_await m_peers.askOnce(std::move(question));
    if (reply.verdict == JobVerdict::Ok) {
        ++m_counters.forwarded;
        co_return StoreStatus::Ok;
    }
    co_await attempt->waitUntil(deadline);
    bool isStored = attempt->isDone && attempt->status == StoreStatus::Ok;
    if (isStored || reply.verdict != JobVerdict::Unknown)
        co_return attempt->status;
    co_return StoreStatus::Unknown;
}

asio::awaitable<JobVerdict> JobService::submit(std::string id, JobSpec spec, Milliseconds patience)
{
    TimePoint began = std::chrono::steady_clock::now();
    spec.acceptedUnixMs = BootClock::unixMs();
    JobQuestion question { JobQuestionKind::Submit, id, {}, encodeSubmission(spec), patience };
    StoreStatus status = co_await store(std::move(question), deadlineFor(patience));
    auto ms = std::chrono::duration_cast<Milliseconds>(std::chrono::steady_clock::now() - began).count();
    if (status == StoreStatus::Ok) {
        ++m_counters.accepted;
        m_events.note(EventId::JobAccepted, { { "job", id }, { "queue", spec.queue }, { "ms", ms } });
        co_return JobVerdict::Ok;
    }
    if (status == StoreStatus::Refused) {
        ++m_counters.refused;
        m_events.note(EventId::JobRefused, { { "job", id }, { "queue", spec.queue }, { "ms", ms } });
        co_return JobVerdict::Refused;
    }
    ++m_counters.unknown;
    m_events.note(EventId::JobOutcomeUnknown, { { "job", id }, { "queue", spec.queue }, { "ms", ms } });
    co_return JobVerdict::Unknown;
}

asio::awaitable<JobReply> JobService::ask(JobQuestion question)
{
    question.patience = std::clamp(question.patience - s_answerReserve, s_leastPatience, s_mostPatience);
    JobDirectory& directory = m_own.isAuthoritative() ? static_cast<JobDirectory&>(m_own) : m_peers;
    co_return co_await directory.ask(std::move(question));
}

asio::awaitable<JobReply> JobService::state(std::string id, std::string queue, Milliseconds patience)
{
    ++m_counters.lookups;
    JobQuestion question { JobQuestionKind::State, std::move(id), std::move(queue), {}, patience };
    co_return co_await ask(std::move(question));
}

asio::awaitable<JobReply> JobService::pending(std::string queue, Milliseconds patience)
{
    JobQuestion question { JobQuestionKind::PendingCount, {}, std::move(queue), {}, patience };
    co_return co_await ask(std::move(question));
}

asio::awaitable<JobVerdict> JobService::cancel(std::string id, std::string queue, Milliseconds patience)
{
    TimePoint deadline = deadlineFor(patience);
    JobQuestion question { JobQuestionKind::State, id, std::move(queue), {}, std::min(patience, s_cancelLookup) };
    JobReply known = co_await ask(std::move(question));
    if (known.verdict == JobVerdict::NotFound)
        co_return JobVerdict::NotFound;
    if (known.verdict == JobVerdict::Ok && isFinal(known.state))
        co_return JobVerdict::Ok;
    JobQuestion record { JobQuestionKind::Cancel, id, {}, std::string(s_cancelMark), patience };
    StoreStatus status = co_await store(std::move(record), deadline);
    if (status == StoreStatus::Refused)
        co_return JobVerdict::Refused;
    if (status != StoreStatus::Ok)
        co_return JobVerdict::Unknown;
    ++m_counters.cancelled;
    m_events.note(EventId::JobCancelRequested, { { "job", id } });
    co_return JobVerdict::Ok;
}

} // namespace plantainhold
