// What an entry instance knows of all jobs: the newest submission, progress and
// cancellation of each, folded from the store's records. Applying a record twice,
// or an older one after a newer one, changes nothing.
#pragma once

#include "plantainhold/jobs/JobProgress.h"
#include "plantainhold/jobs/JobSpec.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace plantainhold {

struct StoredJob {
    // Null while only progress or a cancellation was read.
    std::shared_ptr<const JobSpec> spec;
    JobState state = JobState::Queued;
    bool hasStarted = false;
    bool isCancelRequested = false;
    // The stored progress, undecoded; empty when there is none.
    std::string progress;
    std::uint64_t progressOffset = 0;

    // A cancellation shows at once, before the owner has acted on it.
    JobState shownState() const;
};

class JobTable {
public:
    // Keys of the submissions topic. Thread-safe.
    static std::string submissionKey(std::string_view id);
    static std::string cancelKey(std::string_view id);

    // Not thread-safe, as the whole class. An empty value drops the key.
    // Returns the id of the job that the record concerns, empty for a record that is not understood.
    std::string_view applySubmission(std::string_view key, std::string_view value);
    void applyProgress(std::string_view id, std::string_view value, std::uint64_t offset);

    // Null when the job is not known or was dropped.
    const StoredJob* find(std::string_view id) const;
    // Accepted jobs of a queue that have neither begun nor ended nor wait for a set time.
    std::size_t pendingJobs(std::string_view queue) const;
    std::size_t size() const { return m_jobs.size(); }
    const std::unordered_map<std::string, StoredJob>& jobs() const { return m_jobs; }
    // Undecodable records seen so far.
    std::uint64_t malformedRecords() const { return m_malformed; }

private:
    std::unordered_map<std::string, StoredJob> m_jobs;
    std::uint64_t m_malformed = 0;
};

} // namespace plantainhold
