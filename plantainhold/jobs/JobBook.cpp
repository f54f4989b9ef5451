#include "plantainhold/jobs/JobBook.h"

#include "plantainhold/jobs/JobCodec.h"

namespace plantainhold {

namespace {
    constexpr char s_submissionPrefix = 's';
    constexpr char s_cancelPrefix = 'c';
} // namespace

JobState BookedJob::shownState() const
{
    if (isCancelRequested && !isFinal(state))
        return JobState::Cancelled;
    return state;
}

std::string JobBook::submissionKey(std::string_view id)
{
    return s_submissionPrefix + std::string(id);
}

std::string JobBook::cancelKey(std::string_view id)
{
    return s_cancelPrefix + std::string(id);
}

std::string_view JobBook::applySubmission(std::string_view key, std::string_view value)
{
    if (key.size() < 2 || (key[0] != s_submissionPrefix && key[0] != s_cancelPrefix)) {
        ++m_malformed;
        return {};
    }
    std::string id(key.substr(1));
    if (value.empty()) {
        // Both keys are dropped together, once the job has been over for long.
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

void JobBook::applyProgress(std::string_view id, std::string_view value, std::uint64_t offset)
{
    if (value.empty()) {
        m_jobs.erase(std::string(id));
        return;
    }
    std::optional<JobProgress> progress = decodeProgressSummary(value);
    if (!progress) {
        ++m_malformed;
        return;
    }
    BookedJob& job = m_jobs[std::string(id)];
    if (!job.progress.empty() && offset < job.progressOffset)
        return;
    job.state = progress->state;
    job.hasBegun = progress->hasBegun;
    job.progressOffset = offset;
    job.progress.assign(value);
}

const BookedJob* JobBook::find(std::string_view id) const
{
    auto it = m_jobs.find(std::string(id));
    if (it == m_jobs.end() || !it->second.spec)
        return nullptr;
    return &it->second;
}

std::size_t JobBook::pendingJobs(std::string_view queue) const
{
    std::size_t n = 0;
    for (const auto& [id, job] : m_jobs) {
        if (!job.spec || job.spec->queue != queue)
            continue;
        if (!job.hasBegun && !isFinal(job.shownState()))
            ++n;
    }
    return n;
}

} // namespace plantainhold
