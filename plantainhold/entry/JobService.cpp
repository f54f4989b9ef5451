#include "plantainhold/entry/JobService.h"

#include "plantainhold/entry/JobRecords.h"
#include "plantainhold/jobs/JobCodec.h"

#include <algorithm>

namespace plantainhold {

namespace asio = boost::asio;

namespace {
    constexpr std::string_view s_cancelMark = "1";
    // What the caller's patience leaves for the answer's way back.
    constexpr Milliseconds s_answerReserve { 150 };
    constexpr Milliseconds s_leastPatience { 100 };
    constexpr Milliseconds s_mostPatience { 10'000 };
    constexpr Milliseconds s_readTimeout { 1'000 };

    TimePoint deadlineFor(Milliseconds patience)
    {
        return std::chrono::steady_clock::now() + std::clamp(patience - s_answerReserve, s_leastPatience, s_mostPatience);
    }
} // namespace

JobService::JobService(asio::any_io_executor executor, StorePort& store, JobRecords& records, EventSink& events)
    : m_records(records)
    , m_events(events)
    , m_writer(std::move(executor), store, std::string(JobRecords::s_submissionsTopic), 0)
{
}

asio::awaitable<JobVerdict> JobService::submit(std::string id, JobSpec spec, Milliseconds patience)
{
    if (m_records.book().find(id))
        co_return JobVerdict::Ok;
    TimePoint began = std::chrono::steady_clock::now();
    KeyedRecord record { JobBook::submissionKey(id), encodeSubmission(spec) };
    StoreStatus status = co_await m_writer.put(std::move(record), deadlineFor(patience));
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

asio::awaitable<bool> JobService::refresh(Milliseconds patience)
{
    StoreStatus status = co_await m_records.catchUp(std::min(s_readTimeout, std::max(patience - s_answerReserve, s_leastPatience)));
    co_return status == StoreStatus::Ok;
}

asio::awaitable<JobStateAnswer> JobService::state(std::string id, std::string queue, Milliseconds patience)
{
    ++m_counters.lookups;
    const BookedJob* job = m_records.book().find(id);
    bool isCurrent = false;
    if (!job || !isFinal(job->shownState())) {
        isCurrent = co_await refresh(patience);
        job = m_records.book().find(id);
    }
    if (job && job->spec->queue == queue)
        co_return JobStateAnswer { JobVerdict::Ok, job->shownState() };
    if (job || isCurrent)
        co_return JobStateAnswer { JobVerdict::NotFound };
    co_return JobStateAnswer { JobVerdict::Unavailable };
}

asio::awaitable<JobVerdict> JobService::cancel(std::string id, std::string queue, Milliseconds patience)
{
    const BookedJob* job = m_records.book().find(id);
    if (!job) {
        bool isCurrent = co_await refresh(patience);
        job = m_records.book().find(id);
        if (!job && !isCurrent)
            co_return JobVerdict::Unavailable;
    }
    if (!job || job->spec->queue != queue)
        co_return JobVerdict::NotFound;
    if (job->isCancelRequested || isFinal(job->state))
        co_return JobVerdict::Ok;
    KeyedRecord record { JobBook::cancelKey(id), std::string(s_cancelMark) };
    StoreStatus status = co_await m_writer.put(std::move(record), deadlineFor(patience));
    if (status == StoreStatus::Refused)
        co_return JobVerdict::Refused;
    if (status != StoreStatus::Ok)
        co_return JobVerdict::Unknown;
    ++m_counters.cancelled;
    m_events.note(EventId::JobCancelRequested, { { "job", id } });
    co_return JobVerdict::Ok;
}

asio::awaitable<std::optional<std::size_t>> JobService::pending(std::string queue, Milliseconds patience)
{
    bool isCurrent = co_await refresh(patience);
    if (!isCurrent && !m_records.isComplete())
        co_return std::nullopt;
    co_return m_records.book().pendingJobs(queue);
}

} // namespace plantainhold
