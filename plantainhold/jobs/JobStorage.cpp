// The part of JobScheduler that restores jobs from the store's records, and decides which records are
// stored and deleted.

#include "plantainhold/jobs/JobCodec.h"
#include "plantainhold/jobs/JobScheduler.h"
#include "plantainhold/jobs/JobTable.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace plantainhold {

namespace {

    constexpr Milliseconds s_learnedStoreInterval { 3'000 };
    // Most bytes of the learned state, which is written as a whole each time.
    constexpr std::size_t s_maxLearnedBytes = 64'000;
    // Delay before a record that the store does not take is written again.
    constexpr Milliseconds s_refusedRecordDelay { 5'000 };
    // Delay before the records of a finished job are deleted again after a failure.
    constexpr Milliseconds s_dropRetryDelay { 2'000 };
    // How long a deleted job is remembered, because a read that began before may still return it.
    constexpr Milliseconds s_dropMemory { 10'000 };

} // namespace

void JobScheduler::submit(std::string_view id, const StoredJob& stored, TimePoint now)
{
    if (m_jobs.contains(std::string(id)))
        return;
    if (isFinal(stored.state)) {
        // Without a submission, the former owner has begun to delete the job's records.
        Milliseconds retention = stored.spec ? m_limits.finishedRetention : Milliseconds(0);
        if (m_finishedAt.try_emplace(std::string(id), now).second)
            m_finished.emplace(now + retention, id);
        return;
    }
    if (!stored.spec)
        return;
    if (m_finishedAt.contains(std::string(id))) {
        // Either a read from before the deletion, or a new job with the same id. The records tell which once
        // no such read can be under way any more.
        m_submittedAgain.insert(std::string(id));
        return;
    }
    auto job = std::make_unique<ActiveJob>();
    job->id = id;
    job->spec = stored.spec;
    job->computeCriticalPath();
    job->settings = stored.spec->settings;
    job->firstSeenAt = now;
    // Sorts by time of submission, also across owners.
    job->serial = static_cast<std::uint64_t>(stored.spec->acceptedUnixMs) << 16 | (m_nextSerial++ & 0xffff);
    ActiveJob& added = *job;
    m_jobs.emplace(std::string(id), std::move(job));
    if (!stored.progress.empty() || !stored.progressParts.empty()) {
        if (std::optional<JobProgress> progress = added.progressParts.decode(stored))
            restore(added, *progress, now);
        else
            m_events.note(EventId::StoredRecordMalformed, { { "job", id }, { "what", "progress" } });
    }
    applySettings(added);
    if (!added.settings.areKnown())
        m_events.note(EventId::JobSettingsUnknown, { { "job", id }, { "queue", added.spec->queue }, { "config_version", m_config ? m_config->version() : 0 } });
    if (added.spec->isTimed())
        m_timed.push_back(&added);
    else if (added.nextOccurrence())
        added.openOccurrence(0, now);
    // The following ones are opened as they can be placed.
    if (std::optional<std::uint32_t> first = added.occurrenceToResume(added.offer()))
        added.resume(*first);
    for (auto& [number, it] : added.occurrences)
        refreshOccurrence(it);
    // The former owner had stored the last end, but not the completion of the job.
    if (added.isDone())
        m_possiblyComplete.push_back(added.id);
    if (stored.isCancelRequested)
        cancel(id, now);
    m_needsPlacement = true;
}

void JobScheduler::restore(ActiveJob& job, const JobProgress& progress, TimePoint now)
{
    job.state = progress.state;
    job.hasStarted = progress.hasStarted;
    job.restoreOpened(progress, now);
    job.wasPlaced = progress.hasStarted || job.openedOccurrences.count() > 0;
    if (progress.settings)
        job.settings = *progress.settings;
    for (const TaskProgress& it : progress.tasks)
        restoreTask(job, it, now);
}

void JobScheduler::restoreTask(ActiveJob& job, const TaskProgress& progress, TimePoint now)
{
    ActiveTask* task = job.find({ job.id, progress.occurrence, progress.step, progress.index });
    if (!task && job.spec->hasTask(progress.occurrence, progress.step, progress.index))
        return;
    if (!task) {
        m_events.note(EventId::StoredRecordMalformed, { { "job", job.id }, { "what", "task index out of range" } });
        return;
    }
    task->lastRun = progress.run;
    task->failures = progress.failures;
    task->crashes = progress.crashes;
    task->isSpared = progress.isSpared;
    if (task->crashes.isConvicted(false) && !task->isSpared)
        judgeLater(*task, { task->name(), CrashRelation::None, false, now });
    task->checkpoint = progress.checkpoint;
    restoreUnsettledRuns(*task, progress, now);
    if (progress.executor.empty())
        return;
    ActiveExecutor& executor = executorFor(progress.executor, progress.executorStartedUnixMs);
    // Either the list lags behind what the former owner had seen, or that owner had not seen a restart yet.
    // An incarnation that it had not seen may have granted the longest lease.
    if (progress.executorStartedUnixMs != executor.entry.startedUnixMs) {
        executor.leaseExpiresAt = std::max(executor.leaseExpiresAt, longestLeaseFrom(m_claimedAt + m_limits.formerOwnerGrace));
        executor.mayTakeFormerCalls = true;
    }
    // Also if the record names a former incarnation: the former owner may not have known yet that the
    // executor had restarted when it sent the start.
    addRun(*task, executor, RunPhase::Unconfirmed, now);
    task->run->number = progress.run;
    task->run->incarnation = progress.executorStartedUnixMs;
    task->run->isProven = progress.isRunProven;
    task->run->isSeen = progress.isRunSeen;
    task->run->hasOutlastedStart = progress.hasRunOutlastedStart;
    restoreUnseenLease(*task->run);
    // The former owner may have changed its pace.
    task->run->sentPace = ActiveRun::s_unknownPace;
    // No call to it will fail.
    if (!executor.isListed && executor.runs.size() == 1)
        noteAwaitedLease(executor, now);
}

ActiveExecutor& JobScheduler::executorFor(const std::string& id, std::int64_t startedUnixMs)
{
    auto [it, isNew] = m_executors.try_emplace(id);
    if (isNew) {
        it->second = std::make_unique<ActiveExecutor>();
        ActiveExecutor& executor = *it->second;
        executor.entry.id = id;
        executor.entry.startedUnixMs = startedUnixMs;
        executor.token = m_generation;
        executor.leaseExpiresAt = formerLeaseExpiry(id);
        noteChange(executor);
        m_executorList.push_back(&executor);
        ++m_executorsVersion;
    }
    return *it->second;
}

void JobScheduler::restoreLearned(const LearnedState& state)
{
    m_pacer.restore(state.effects);
    m_prioritizer.restore(state.slowdowns);
}

CommitBatch JobScheduler::takeBatch(TimePoint now)
{
    CommitBatch batch;
    if (m_isTermRecorded && isTermRecordDue(now))
        batch.progress.emplace_back(OwnerTerm::s_key, encodeOwnerTerm(recordTerm(now), m_limits.maxRecordBytes));
    if (!m_dirty.empty() && now >= m_learnedStoredAt + s_learnedStoreInterval) {
        m_learnedStoredAt = now;
        batch.progress.emplace_back(s_learnedKey, encodeLearned({ m_pacer.learned(), m_prioritizer.learned() }, std::min(m_limits.maxRecordBytes, s_maxLearnedBytes)));
    }
    std::vector<ActiveJob*> held;
    const std::unordered_map<std::string_view, std::vector<const ExpiredRun*>> unsettled = unsettledRunsByJob();
    for (ActiveJob* job : m_dirty) {
        job->removeDone();
        if (job->isHeld(now)) {
            held.push_back(job);
            wakeAt(job->heldUntil);
            continue;
        }
        job->isDirty = false;
        job->endsInBatch = job->unstoredEnds.size();
        JobProgress progress = job->progress();
        if (auto found = unsettled.find(job->id); found != unsettled.end())
            addUnsettledRuns(progress, found->second);
        omitLargeCheckpoints(progress, *job);
        std::vector<std::pair<std::string, std::string>> records = job->progressParts.encode(job->id, progress, m_limits.maxRecordBytes);
        std::move(records.begin(), records.end(), std::back_inserter(batch.progress));
    }
    m_dirty = std::move(held);
    batch.droppedJobs = std::exchange(m_dropped, {});
    batch.starts = std::exchange(m_starts, {});
    for (ActiveExecutor* it : m_executorList) {
        if (it->endsApplied > it->endsRecorded)
            batch.acknowledgements.push_back({ it->entry.id, it->entry.startedUnixMs, it->endsApplied });
    }
    return batch;
}

void JobScheduler::omitLargeCheckpoints(JobProgress& progress, const ActiveJob& job)
{
    const std::size_t limit = m_limits.maxRecordBytes - std::min(m_limits.maxRecordBytes, ProgressParts::s_maxTaskBytes);
    for (TaskProgress& it : progress.tasks) {
        if (it.checkpoint.size() <= limit)
            continue;
        m_events.note(EventId::CheckpointOmitted, { { "task", TaskName { job.id, it.occurrence, it.step, it.index }.text() }, { "bytes", it.checkpoint.size() }, { "limit", limit } });
        it.checkpoint.clear();
    }
}

void JobScheduler::hold(ActiveJob& job, TimePoint now)
{
    job.heldUntil = now + s_refusedRecordDelay;
    // Its runs that were to be started are not recorded.
    for (auto& [number, occurrence] : job.occurrences) {
        for (ActiveStep& step : occurrence.steps) {
            for (ActiveTask& task : step.tasks.open()) {
                if (task.run && task.run->phase == RunPhase::Recording)
                    endRun(task, now);
            }
        }
    }
    std::erase_if(m_starts, [&](const CommitBatch::Start& it) { return it.task.job == job.id; });
    markDirty(job);
}

void JobScheduler::committed(const CommitBatch& batch, TimePoint now, std::span<const std::string> refused)
{
    for (const std::string& it : refused) {
        // The record of the term is due again.
        if (it == OwnerTerm::s_key)
            m_recordedLeases.clear();
        auto found = m_jobs.find(std::string(ProgressParts::jobOf(it)));
        if (found == m_jobs.end())
            continue;
        found->second->progressParts.recordRefused(it);
        hold(*found->second, now);
    }
    for (const auto& [key, value] : batch.progress) {
        auto found = m_jobs.find(std::string(ProgressParts::jobOf(key)));
        if (found == m_jobs.end() || found->second->isHeld(now))
            continue;
        ActiveJob& job = *found->second;
        job.heldUntil = {};
        job.unstoredEnds.erase(job.unstoredEnds.begin(), job.unstoredEnds.begin() + static_cast<std::ptrdiff_t>(std::exchange(job.endsInBatch, 0)));
    }
    std::vector<const ActiveJob*> held;
    std::copy_if(m_dirty.begin(), m_dirty.end(), std::back_inserter(held), [](const ActiveJob* it) { return it->heldUntil != TimePoint {}; });
    for (const CommitBatch::Acknowledgement& it : batch.acknowledgements)
        noteRecordedEnds(it, held);
    for (const CommitBatch::Start& it : batch.starts)
        startRecorded(it);
    // Removes jobs that have ended, whose final state is stored and that have no runs left.
    for (const auto& [id, bytes] : batch.progress) {
        auto found = m_jobs.find(id);
        if (found == m_jobs.end() || !isFinal(found->second->state) || found->second->isDirty)
            continue;
        if (!found->second->hasRuns())
            m_jobs.erase(found);
    }
    wakeAt(now);
}

void JobScheduler::noteRecordedEnds(const CommitBatch::Acknowledgement& acknowledgement, std::span<const ActiveJob* const> held)
{
    auto found = m_executors.find(acknowledgement.executor);
    if (found == m_executors.end() || found->second->entry.startedUnixMs != acknowledgement.startedUnixMs)
        return;
    // Acknowledged ends are forgotten by the executor, and those of a job that is not stored must not be.
    std::uint64_t recorded = acknowledgement.endNumber;
    for (const ActiveJob* job : held) {
        for (const ActiveJob::UnstoredEnd& it : job->unstoredEnds) {
            if (it.executor == acknowledgement.executor && it.startedUnixMs == acknowledgement.startedUnixMs)
                recorded = std::min(recorded, it.number - 1);
        }
    }
    found->second->endsRecorded = std::max(found->second->endsRecorded, recorded);
}

void JobScheduler::startRecorded(const CommitBatch::Start& start)
{
    auto found = m_jobs.find(start.task.job);
    ActiveTask* task = found == m_jobs.end() ? nullptr : found->second->find(start.task);
    if (!task || !task->run || task->run->number != start.run || task->run->phase != RunPhase::Recording)
        return;
    task->run->phase = RunPhase::Starting;
    m_commands.push_back({ CommandKind::Start, task->run->executor->entry.id, start.task, start.run, found->second->spec, task->checkpoint, task->step->advice.ticketFor(task->run->executor->entry.id), 100 });
}

void JobScheduler::jobsDropped(std::span<const std::string> ids, TimePoint now)
{
    for (const std::string& it : ids)
        m_forgetAt.emplace(now + s_dropMemory, it);
}

std::vector<std::string> JobScheduler::takeSubmittedAgain()
{
    return std::exchange(m_readAgain, {});
}

void JobScheduler::forgetDroppedJobs(TimePoint now)
{
    while (!m_forgetAt.empty() && m_forgetAt.begin()->first <= now) {
        std::string id = std::move(m_forgetAt.begin()->second);
        m_forgetAt.erase(m_forgetAt.begin());
        m_finishedAt.erase(id);
        if (m_submittedAgain.erase(id))
            m_readAgain.push_back(std::move(id));
    }
}

void JobScheduler::dropLater(std::span<const std::string> ids, TimePoint now)
{
    for (const std::string& it : ids)
        m_finished.emplace(now + s_dropRetryDelay, it);
}

} // namespace plantainhold
