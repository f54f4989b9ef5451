#include "plantainhold/entry/JobService.h"

#include "plantainhold/entry/OwnerDirectory.h"
#include "plantainhold/entry/PeerDirectory.h"
#include "plantainhold/entry/SubmissionWriter.h"
#include "plantainhold/jobs/JobCodec.h"
#include "plantainhold/util/BootClock.h"
#include "plantainhold/util/Spawn.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace plantainhold {

namespace asio = boost::asio;

namespace {
    constexpr std::string_view s_cancelValue = "1";
    // Part of the caller's timeout that is reserved for returning the response.
    constexpr Milliseconds s_replyReserve { 150 };
    constexpr Milliseconds s_minTimeout { 100 };
    constexpr Milliseconds s_maxTimeout { 10'000 };
    // The request is also sent to the owner when 1/s_forwardDivisor of the caller's time is left.
    constexpr int s_forwardDivisor = 2;
    // If the lookup takes longer, the cancellation is stored without knowing whether the job exists.
    constexpr Milliseconds s_cancelLookupTimeout { 800 };
    // An append that ends at the deadline tells its result this much later at the latest.
    constexpr Milliseconds s_settleTime { 20 };

    TimePoint deadlineFor(Milliseconds timeout)
    {
        return std::chrono::steady_clock::now() + std::clamp(timeout - s_replyReserve, s_minTimeout, s_maxTimeout);
    }
} // namespace

JobService::JobService(SubmissionWriter& writer, OwnerDirectory& ownerDirectory, PeerDirectory& peerDirectory, EventSink& events)
    : m_ownerDirectory(ownerDirectory)
    , m_peerDirectory(peerDirectory)
    , m_events(events)
    , m_writer(writer)
{
}

// An append by this instance, which continues while the owner is asked to store the same record.
struct JobService::LocalAppend {
    explicit LocalAppend(const asio::any_io_executor& executor)
        : signal(executor)
    {
    }

    // Returns when the append has ended, or at the given time if that is earlier.
    asio::awaitable<void> waitUntil(TimePoint when)
    {
        signal.expires_at(when);
        boost::system::error_code ec;
        if (!isDone)
            co_await signal.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    }

    // Returns when the append has ended, which it does at the deadline at the latest: a record that
    // was never sent is refused then.
    asio::awaitable<void> waitForEnd(TimePoint deadline) { return waitUntil(deadline + s_settleTime); }

    asio::steady_timer signal;
    StoreStatus status = StoreStatus::Unknown;
    bool isDone = false;
};

asio::awaitable<void> JobService::append(std::shared_ptr<LocalAppend> localAppend, JobRequest request, TimePoint deadline)
{
    localAppend->status = co_await resultOr(m_writer.put(std::move(request), deadline), StoreStatus::Unknown, m_events, "submission");
    localAppend->isDone = true;
    localAppend->signal.cancel();
}

asio::awaitable<StoreStatus> JobService::store(JobRequest request, TimePoint deadline)
{
    StoreStatus status = co_await storeHereOrThroughOwner(std::move(request), deadline);
    if (status == StoreStatus::Ok)
        m_retryAdvice.recordStored(BootClock::now());
    else if (status == StoreStatus::Refused)
        m_retryAdvice.recordRefused(BootClock::now());
    co_return status;
}

std::uint32_t JobService::retryAfterSeconds(std::string_view id) const
{
    return m_retryAdvice.retryAfterSeconds(id, BootClock::now());
}

asio::awaitable<StoreStatus> JobService::storeHereOrThroughOwner(JobRequest request, TimePoint deadline)
{
    auto executor = co_await asio::this_coro::executor;
    auto left = [deadline]() { return std::chrono::duration_cast<Milliseconds>(deadline - std::chrono::steady_clock::now()); };
    auto localAppend = std::make_shared<LocalAppend>(executor);
    spawnLogged(executor, append(localAppend, request, deadline), m_events, "submission");
    if (m_ownerDirectory.isAuthoritative())
        co_await localAppend->waitForEnd(deadline);
    else
        co_await localAppend->waitUntil(deadline - left() / s_forwardDivisor);
    request.timeout = left();
    bool isSettled = localAppend->status == StoreStatus::Ok || localAppend->status == StoreStatus::Invalid || m_ownerDirectory.isAuthoritative();
    if (localAppend->isDone && isSettled)
        co_return localAppend->status;
    if (request.timeout < s_minTimeout) {
        co_await localAppend->waitForEnd(deadline);
        co_return localAppend->status;
    }
    // Storing the record twice is harmless, because records with equal keys carry equal values.
    JobReply reply = co_await m_peerDirectory.handleOnce(std::move(request));
    if (reply.outcome == JobRequestOutcome::Ok) {
        ++m_counters.forwarded;
        co_return StoreStatus::Ok;
    }
    co_await localAppend->waitForEnd(deadline);
    bool isStored = localAppend->isDone && localAppend->status == StoreStatus::Ok;
    if (isStored || reply.outcome != JobRequestOutcome::Unknown)
        co_return localAppend->status;
    co_return StoreStatus::Unknown;
}

asio::awaitable<JobRequestOutcome> JobService::submit(std::string id, JobSpec spec, Milliseconds timeout)
{
    TimePoint startedAt = std::chrono::steady_clock::now();
    spec.acceptedUnixMs = BootClock::unixMs();
    JobRequest request { JobRequestKind::Submit, id, {}, encodeSubmission(spec), timeout };
    StoreStatus status = co_await store(std::move(request), deadlineFor(timeout));
    auto ms = std::chrono::duration_cast<Milliseconds>(std::chrono::steady_clock::now() - startedAt).count();
    if (status == StoreStatus::Ok) {
        ++m_counters.accepted;
        m_events.note(EventId::JobAccepted, { { "job", id }, { "queue", spec.queue }, { "ms", ms } });
        co_return JobRequestOutcome::Ok;
    }
    if (status == StoreStatus::Refused || status == StoreStatus::Invalid) {
        ++m_counters.refused;
        m_events.note(EventId::JobRefused, { { "job", id }, { "queue", spec.queue }, { "ms", ms }, { "status", nameOf(status) } });
        co_return status == StoreStatus::Refused ? JobRequestOutcome::Refused : JobRequestOutcome::Invalid;
    }
    ++m_counters.unknown;
    m_events.note(EventId::JobOutcomeUnknown, { { "job", id }, { "queue", spec.queue }, { "ms", ms } });
    co_return JobRequestOutcome::Unknown;
}

asio::awaitable<JobReply> JobService::route(JobRequest request)
{
    request.timeout = std::clamp(request.timeout - s_replyReserve, s_minTimeout, s_maxTimeout);
    JobDirectory& directory = m_ownerDirectory.isAuthoritative() ? static_cast<JobDirectory&>(m_ownerDirectory) : m_peerDirectory;
    co_return co_await directory.handle(std::move(request));
}

asio::awaitable<JobReply> JobService::state(std::string id, QueueIdentity queue, Milliseconds timeout)
{
    ++m_counters.lookups;
    JobRequest request { JobRequestKind::State, std::move(id), std::move(queue), {}, timeout };
    co_return co_await route(std::move(request));
}

asio::awaitable<JobReply> JobService::pending(QueueIdentity queue, Milliseconds timeout)
{
    JobRequest request { JobRequestKind::PendingCount, {}, std::move(queue), {}, timeout };
    co_return co_await route(std::move(request));
}

asio::awaitable<JobRequestOutcome> JobService::cancel(std::string id, QueueIdentity queue, Milliseconds timeout)
{
    TimePoint deadline = deadlineFor(timeout);
    JobRequest request { JobRequestKind::State, id, std::move(queue), {}, std::min(timeout, s_cancelLookupTimeout) };
    JobReply known = co_await route(std::move(request));
    if (known.outcome == JobRequestOutcome::NotFound)
        co_return JobRequestOutcome::NotFound;
    if (known.outcome == JobRequestOutcome::Ok && isFinal(known.state))
        co_return JobRequestOutcome::Ok;
    JobRequest record { JobRequestKind::Cancel, id, {}, std::string(s_cancelValue), timeout };
    StoreStatus status = co_await store(std::move(record), deadline);
    if (status == StoreStatus::Refused)
        co_return JobRequestOutcome::Refused;
    if (status != StoreStatus::Ok)
        co_return JobRequestOutcome::Unknown;
    ++m_counters.cancelled;
    m_events.note(EventId::JobCancelRequested, { { "job", id } });
    co_return JobRequestOutcome::Ok;
}

} // namespace plantainhold
