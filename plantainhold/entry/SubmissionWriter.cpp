#include "plantainhold/entry/SubmissionWriter.h"

#include "plantainhold/entry/JobTopics.h"
#include "plantainhold/jobs/JobTable.h"

namespace plantainhold {

SubmissionWriter::SubmissionWriter(boost::asio::any_io_executor executor, StorePort& store, EventSink& events, const StoreLimits& limits, std::uint32_t partitions, CircuitUse use)
    : m_gate(executor, store, events, std::string(s_submissionsTopic), partitions, use)
{
    for (std::uint32_t partition = 0; partition < partitions; ++partition)
        m_partitions.push_back(std::make_unique<GroupCommit>(executor, m_gate, events, limits, std::string(s_submissionsTopic), partition));
}

boost::asio::awaitable<StoreStatus> SubmissionWriter::put(JobRequest request, TimePoint deadline)
{
    bool isCancel = request.kind == JobRequestKind::Cancel;
    KeyedRecord record { isCancel ? JobTable::cancelKey(request.id) : JobTable::submissionKey(request.id), std::move(request.record) };
    return m_partitions[submissionPartition(request.id, static_cast<std::uint32_t>(m_partitions.size()))]->put(std::move(record), deadline);
}

} // namespace plantainhold
