#include "plantainhold/testing/jobs/SimulatedStore.h"

#include "plantainhold/jobs/JobCodec.h"
#include "plantainhold/jobs/JobScheduler.h"
#include "plantainhold/testing/jobs/RunHistory.h"
#include "plantainhold/testing/jobs/SimulationOptions.h"

#include <algorithm>

namespace plantainhold {

SimulatedStore::SimulatedStore(RunHistory& history, const SimulationOptions& options)
    : m_history(history)
    , m_limits(options.storeLimits)
    , m_maxOwnerBytes(options.limits.maxRecordBytes)
{
}

std::uint64_t SimulatedStore::claim(OwnerTerm& former)
{
    former = m_ownerRecord.empty() ? OwnerTerm { 0, true, {} } : *decodeOwnerTerm(m_ownerRecord);
    return ++m_generation;
}

bool SimulatedStore::writeOwner(std::uint64_t generation, const OwnerTerm& term)
{
    if (!isNewest(generation))
        return false;
    m_ownerRecord = encodeOwnerTerm(term, m_maxOwnerBytes);
    return true;
}

StoreStatus SimulatedStore::append(std::uint64_t generation, std::span<const KeyedRecord> records)
{
    if (!isNewest(generation))
        return StoreStatus::Fenced;
    std::size_t bytes = 0;
    for (const KeyedRecord& it : records)
        bytes += StoreLimits::sizeOf(it);
    bool areTaken = std::all_of(records.begin(), records.end(), [this](const KeyedRecord& it) { return m_limits.fits(it) && (!takes || takes(it)); });
    if (!areTaken || bytes > m_limits.callBytes)
        return StoreStatus::Invalid;
    for (const KeyedRecord& it : records)
        apply(it);
    return StoreStatus::Ok;
}

void SimulatedStore::apply(const KeyedRecord& record)
{
    if (record.key == JobScheduler::s_learnedKey)
        return;
    if (record.key == OwnerTerm::s_key) {
        m_ownerRecord = record.value;
        return;
    }
    m_table.applyProgress(record.key, record.value, m_offset++);
    std::optional<JobProgress> progress = record.value.empty() ? std::nullopt : decodeProgressSummary(record.value);
    if (progress && progress->state == JobState::Completed)
        m_history.checkCompleted(record.key);
}

} // namespace plantainhold
