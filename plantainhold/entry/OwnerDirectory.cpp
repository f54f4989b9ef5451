#include "plantainhold/entry/OwnerDirectory.h"

#include "plantainhold/entry/JobRecords.h"
#include "plantainhold/entry/SubmissionWriter.h"

#include <algorithm>

namespace plantainhold {

namespace asio = boost::asio;

namespace {
    constexpr Milliseconds s_readTimeout { 1'000 };
} // namespace

OwnerDirectory::OwnerDirectory(JobRecords& records, SubmissionWriter& writer, IsAuthoritative isAuthoritative)
    : m_records(records)
    , m_writer(writer)
    , m_isAuthoritative(std::move(isAuthoritative))
{
}

asio::awaitable<JobReply> OwnerDirectory::ask(JobQuestion question)
{
    if (!isAuthoritative())
        co_return JobReply {};
    if (question.kind == JobQuestionKind::State)
        co_return co_await state(std::move(question));
    if (question.kind != JobQuestionKind::PendingCount)
        co_return co_await store(std::move(question));
    co_return JobReply { JobVerdict::Ok, JobState::Queued, m_records.book().pendingJobs(question.queue) };
}

asio::awaitable<JobReply> OwnerDirectory::store(JobQuestion question)
{
    TimePoint deadline = std::chrono::steady_clock::now() + question.patience;
    StoreStatus status = co_await m_writer.put(std::move(question), deadline);
    if (status == StoreStatus::Ok)
        co_return JobReply { JobVerdict::Ok };
    co_return JobReply { status == StoreStatus::Refused ? JobVerdict::Refused : JobVerdict::Unknown };
}

asio::awaitable<JobReply> OwnerDirectory::state(JobQuestion question)
{
    const StoredJob* job = m_records.book().find(question.id);
    if (!job) {
        StoreStatus status = co_await m_records.readSubmission(question.id, std::min(s_readTimeout, question.patience));
        job = m_records.book().find(question.id);
        // The partition may have changed hands during the read.
        if (!isAuthoritative() || (!job && status != StoreStatus::Ok))
            co_return JobReply {};
    }
    if (!job || job->spec->queue != question.queue)
        co_return JobReply { JobVerdict::NotFound };
    co_return JobReply { JobVerdict::Ok, job->shownState() };
}

} // namespace plantainhold
