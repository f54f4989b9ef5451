#include "plantainhold/testing/jobs/EvidenceFilter.h"

#include "plantainhold/jobs/ActiveExecutor.h"
#include "plantainhold/jobs/JobCodec.h"
#include "plantainhold/testing/jobs/SimulatedFleet.h"

#include <chrono>

namespace plantainhold {

namespace {

    // Start time of each executor that is up when a simulation begins.
    constexpr std::int64_t s_firstStartMs = 1;

} // namespace

ExecutorEntry EvidenceFilter::entry(ExecutorEntry entry) const
{
    if (m_disabled.hidesRestarts)
        entry.startedUnixMs = s_firstStartMs;
    if (m_disabled.hidesCapacityChanges)
        entry.capacity = SimulatedFleet::s_capacity;
    return entry;
}

ExecutorReport EvidenceFilter::report(ExecutorReport report) const
{
    if (m_disabled.hidesRestarts)
        report.startedUnixMs = s_firstStartMs;
    return report;
}

bool EvidenceFilter::isNoticed(std::int64_t startedUnixMs, const ActiveExecutor* executor) const
{
    return !m_disabled.ordersByStartTime || !executor || startedUnixMs >= executor->entry.startedUnixMs;
}

CallResult EvidenceFilter::commandResult(CallResult result, const ActiveExecutor* executor, TimePoint now) const
{
    result.address = address(result, executor);
    // What the clock of the incarnation that reported last shows now, so that it fits.
    if (m_disabled.hidesHandlingClock && executor && result.clockMs)
        result.clockMs = executor->clockMs + std::chrono::duration_cast<Milliseconds>(now - executor->clockReadAt).count();
    return result;
}

CallResult EvidenceFilter::reportResult(CallResult result, const ActiveExecutor* executor, TimePoint now) const
{
    result.address = address(result, executor);
    if (m_disabled.hidesReportOrder)
        result.sentAt = now;
    return result;
}

TimePoint EvidenceFilter::claimTime(TimePoint claimedAt) const
{
    return claimedAt - Milliseconds(m_disabled.claimTakenEarlyMs);
}

std::string_view EvidenceFilter::address(const CallResult& result, const ActiveExecutor* executor) const
{
    return m_disabled.hidesCalledAddress && executor ? executor->entry.address : result.address;
}

StoredJob EvidenceFilter::storedJob(StoredJob job) const
{
    if (!m_disabled.hidesDoneRanges)
        return job;
    auto hide = [](std::string& record) {
        std::optional<JobProgress> progress = decodeProgress(record);
        if (!progress)
            return;
        progress->doneOccurrences.clear();
        progress->doneSteps.clear();
        progress->doneTasks.clear();
        record = encodeProgress(*progress);
    };
    if (!job.progress.empty())
        hide(job.progress);
    for (auto& [key, part] : job.progressParts)
        hide(part.record);
    return job;
}

} // namespace plantainhold
