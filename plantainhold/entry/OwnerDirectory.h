// OwnerDirectory handles requests from this instance's own records while it owns the
// partition. Only the owner writes progress, so its copy is the newest. A job that is
// not in the copy is looked up in the store before the outcome is NotFound.
#pragma once

#include "plantainhold/entry/JobDirectory.h"
#include "plantainhold/jobs/JobTable.h"
#include "plantainhold/ports/Clock.h"

#include <functional>

namespace plantainhold {

class JobRecords;
class SubmissionWriter;

class OwnerDirectory final : public JobDirectory {
public:
    // Returns whether this instance is certain to own the partition now and has read all records.
    using IsAuthoritative = std::function<bool()>;

    // Records and writer must outlive the directory. The class is not thread-safe.
    OwnerDirectory(JobRecords& records, SubmissionWriter& writer, IsAuthoritative isAuthoritative);

    bool isAuthoritative() const { return m_isAuthoritative(); }
    boost::asio::awaitable<JobReply> handle(JobRequest request) override;

private:
    boost::asio::awaitable<JobReply> state(JobRequest request);
    boost::asio::awaitable<JobReply> store(JobRequest request);
    std::size_t pendingJobs(const QueueIdentity& queue);

    JobRecords& m_records;
    SubmissionWriter& m_writer;
    IsAuthoritative m_isAuthoritative;
    JobTable::PendingJobs m_pending;
    TimePoint m_pendingAt {};
};

} // namespace plantainhold
