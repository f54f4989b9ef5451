#include "plantainhold/jobs/JobTable.h"

#include "plantainhold/jobs/JobCodec.h"
#include "plantainhold/jobs/ProgressParts.h"

namespace plantainhold {

namespace {
    constexpr char s_submissionPrefix = 's';
    constexpr char s_cancelPrefix = 'c';
} // namespace

JobState StoredJob::shownState() const
{
    if (isCancelRequested && !isFinal(state))
        return JobState::Cancelled;
    return state;
}

std::string JobTable::submissionKey(std::string_view id)
{
    return s_submissionPrefix + std::string(id);
}

std::string JobTable::cancelKey(std::string_view id)
{
    return s_cancelPrefix + std::string(id);
}

std::string_view JobTable::applySubmission(std::string_view key, std::string_view value)
{
    if (key.size() < 2 || (key[0] != s_submissionPrefix && key[0] != s_cancelPrefix)) {
        ++m_malformed;
        return {};
    }
    std::string id(key.substr(1));
    if (value.empty()) {
        // Both keys are removed together, after the job's final state has been kept long enough.
        m_jobs.erase(id);
        return {};
    }
    if (key[0] == s_cancelPrefix) {
        auto it = m_jobs.try_emplace(std::move(id)).first;
        it->second.isCancelRequested = true;
        return it->first;
    }
    std::optional<JobSpec> spec = decodeSubmission(value);
    if (!spec) {
        ++m_malformed;
        return {};
    }
    auto it = m_jobs.try_emplace(std::move(id)).first;
    if (!it->second.spec)
        it->second.spec = std::make_shared<const JobSpec>(std::move(*spec));
    return it->first;
}

void JobTable::applyProgressPart(std::string_view key, std::string_view value, std::uint64_t offset)
{
    auto job = m_jobs.find(std::string(ProgressParts::jobOf(key)));
    if (value.empty() && job == m_jobs.end())
        return;
    if (job == m_jobs.end())
        job = m_jobs.try_emplace(std::string(ProgressParts::jobOf(key))).first;
    if (value.empty()) {
        job->second.progressParts.erase(std::string(key));
        return;
    }
    StoredJob::Part& part = job->second.progressParts[std::string(key)];
    if (!part.record.empty() && offset < part.offset)
        return;
    part.record.assign(value);
    part.offset = offset;
}

void JobTable::applyProgress(std::string_view id, std::string_view value, std::uint64_t offset)
{
    if (ProgressParts::isPart(id)) {
        applyProgressPart(id, value, offset);
        return;
    }
    if (value.empty()) {
        m_jobs.erase(std::string(id));
        return;
    }
    std::optional<JobProgress> progress = decodeProgressSummary(value);
    if (!progress) {
        ++m_malformed;
        return;
    }
    StoredJob& job = m_jobs[std::string(id)];
    if (!job.progress.empty() && offset < job.progressOffset)
        return;
    job.state = progress->state;
    job.hasStarted = progress->hasStarted;
    job.progressOffset = offset;
    job.progress.assign(value);
}

const StoredJob* JobTable::find(std::string_view id) const
{
    auto it = m_jobs.find(std::string(id));
    if (it == m_jobs.end() || !it->second.spec)
        return nullptr;
    return &it->second;
}

void JobTable::PendingJobs::add(const JobSpec& spec)
{
    ++m_byName[spec.queue];
    if (spec.settings.areKnown())
        ++m_byAddress[spec.settings.addressHash];
    else
        ++m_withoutAddress[spec.queue];
}

std::size_t JobTable::PendingJobs::of(const QueueIdentity& queue) const
{
    auto count = [](const auto& jobs, const auto& key) {
        auto it = jobs.find(key);
        return it == jobs.end() ? 0 : it->second;
    };
    if (!queue.addressHash)
        return count(m_byName, queue.name);
    return count(m_byAddress, *queue.addressHash) + count(m_withoutAddress, queue.name);
}

JobTable::PendingJobs JobTable::pendingJobs() const
{
    PendingJobs pending;
    for (const auto& [id, job] : m_jobs) {
        if (job.spec && !job.hasStarted && !isFinal(job.shownState()))
            pending.add(*job.spec);
    }
    return pending;
}

} // namespace plantainhold
