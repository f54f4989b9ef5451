#include "plantainhold/entry/SubmissionWriter.h"

#include "plantainhold/entry/JobTopics.h"
#include "plantainhold/jobs/JobTable.h"

namespace plantainhold {

SubmissionWriter::SubmissionWriter(boost::asio::any_io_executor executor, StorePort& store, std::uint32_t parts)
{
    for (std::uint32_t part = 0; part < parts; ++part)
        m_parts.push_back(std::make_unique<GroupCommit>(executor, store, std::string(s_submissionsTopic), part));
}

boost::asio::awaitable<StoreStatus> SubmissionWriter::put(JobQuestion question, TimePoint deadline)
{
    bool isCancel = question.kind == JobQuestionKind::Cancel;
    KeyedRecord record { isCancel ? JobTable::cancelKey(question.id) : JobTable::submissionKey(question.id), std::move(question.record) };
    return m_parts[submissionPart(question.id, static_cast<std::uint32_t>(m_parts.size()))]->put(std::move(record), deadline);
}

} // namespace plantainhold
