// Answers about jobs from this instance's own records, while it owns the partition:
// only the owner writes progress, so its copy is the newest, and a job that it does
// not know is looked for in the store before it is called unknown.
#pragma once

#include "plantainhold/entry/JobDirectory.h"

#include <functional>

namespace plantainhold {

class JobRecords;
class SubmissionWriter;

class OwnerDirectory final : public JobDirectory {
public:
    // Tells whether this instance certainly owns at this moment and has read everything.
    using IsAuthoritative = std::function<bool()>;

    // Records and writer must outlive the directory. Not thread-safe, as the whole class.
    OwnerDirectory(JobRecords& records, SubmissionWriter& writer, IsAuthoritative isAuthoritative);

    bool isAuthoritative() const { return m_isAuthoritative(); }
    boost::asio::awaitable<JobReply> handle(JobRequest request) override;

private:
    boost::asio::awaitable<JobReply> state(JobRequest request);
    boost::asio::awaitable<JobReply> store(JobRequest request);

    JobRecords& m_records;
    SubmissionWriter& m_writer;
    IsAuthoritative m_isAuthoritative;
};

} // namespace plantainhold
