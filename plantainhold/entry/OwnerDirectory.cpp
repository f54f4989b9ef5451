#include "plantainhold/entry/OwnerDirectory.h"

#include "plantainhold/entry/JobRecords.h"
#include "plantainhold/entry/SubmissionWriter.h"

#include <algorithm>

namespace plantainhold {

namespace asio = boost::asio;

namespace {
    constexpr Milliseconds s_readTimeout { 1'000 };
    // Counts of pending jobs are at most this old; each counting looks at all jobs.
    constexpr Milliseconds s_pendingAge { 200 };
} // namespace

OwnerDirectory::OwnerDirectory(JobRecords& records, SubmissionWriter& writer, IsAuthoritative isAuthoritative)
    : m_records(records)
    , m_writer(writer)
    , m_isAuthoritative(std::move(isAuthoritative))
{
}

asio::awaitable<JobReply> OwnerDirectory::handle(JobRequest request)
{
    if (!isAuthoritative())
        co_return JobReply {};
    if (request.kind == JobRequestKind::State)
        co_return co_await state(std::move(request));
    if (request.kind != JobRequestKind::PendingCount)
        co_return co_await store(std::move(request));
    co_return JobReply { JobRequestOutcome::Ok, JobState::Queued, pendingJobs(request.queue) };
}

std::size_t OwnerDirectory::pendingJobs(const QueueIdentity& queue)
{
    TimePoint now = std::chrono::steady_clock::now();
    if (now >= m_pendingAt + s_pendingAge) {
        m_pendingAt = now;
        m_pending = m_records.table().pendingJobs();
    }
    return m_pending.of(queue);
}

asio::awaitable<JobReply> OwnerDirectory::store(JobRequest request)
{
    TimePoint deadline = std::chrono::steady_clock::now() + request.timeout;
    StoreStatus status = co_await m_writer.put(std::move(request), deadline);
    if (status == StoreStatus::Ok)
        co_return JobReply { JobRequestOutcome::Ok };
    if (status == StoreStatus::Invalid)
        co_return JobReply { JobRequestOutcome::Invalid };
    co_return JobReply { status == StoreStatus::Refused ? JobRequestOutcome::Refused : JobRequestOutcome::Unknown };
}

asio::awaitable<JobReply> OwnerDirectory::state(JobRequest request)
{
    const StoredJob* job = m_records.table().find(request.id);
    if (!job) {
        StoreStatus status = co_await m_records.readSubmission(request.id, std::min(s_readTimeout, request.timeout));
        job = m_records.table().find(request.id);
        // Ownership may have been lost during the read.
        if (!isAuthoritative() || (!job && status != StoreStatus::Ok))
            co_return JobReply {};
    }
    if (!job || !job->spec->belongsTo(request.queue))
        co_return JobReply { JobRequestOutcome::NotFound };
    co_return JobReply { JobRequestOutcome::Ok, job->shownState() };
}

} // namespace plantainhold
