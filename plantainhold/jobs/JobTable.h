// The state of all jobs as an entry instance knows it: submission, newest progress and cancellation
// of each, built from the store's records. Applying a record twice, or an older progress record
// after a newer one, changes nothing.
#pragma once

#include "plantainhold/jobs/JobProgress.h"
#include "plantainhold/jobs/JobSpec.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace plantainhold {

struct StoredJob {
    // Null if only progress or a cancellation has been read.
    std::shared_ptr<const JobSpec> spec;
    JobState state = JobState::Queued;
    bool hasStarted = false;
    bool isCancelRequested = false;
    // The newest progress record, still encoded; empty if there is none.
    std::string progress;
    std::uint64_t progressOffset = 0;
    // Parts of the progress of a large job, by key (see ProgressParts).
    struct Part {
        std::string record;
        std::uint64_t offset = 0;
    };
    std::map<std::string, Part> progressParts;

    // Returns the state to show to callers: a requested cancellation counts immediately, before the
    // owner has acted on it.
    JobState shownState() const;
};

class JobTable {
public:
    // Keys in the submissions topic. Thread-safe.
    static std::string submissionKey(std::string_view id);
    static std::string cancelKey(std::string_view id);

    // An empty value removes the job. Returns the id of the job that the record concerns; empty if
    // the record removed the job or is malformed. Not thread-safe, like all following methods.
    std::string_view applySubmission(std::string_view key, std::string_view value);
    // The key is a job's id, or that of a part of its progress.
    void applyProgress(std::string_view key, std::string_view value, std::uint64_t offset);

    // Returns nullptr if the job is unknown or was removed.
    const StoredJob* find(std::string_view id) const;
    // Numbers of accepted jobs that have neither started nor ended, including those whose set time has not come.
    class PendingJobs {
    public:
        void add(const JobSpec& spec);
        std::size_t of(const QueueIdentity& queue) const;
        bool operator==(const PendingJobs&) const = default;

    private:
        std::unordered_map<std::uint32_t, std::size_t> m_byAddress;
        std::unordered_map<std::string, std::size_t> m_byName;
        // Those of m_byName that were stored without an address.
        std::unordered_map<std::string, std::size_t> m_withoutAddress;
    };
    PendingJobs pendingJobs() const;
    std::size_t size() const { return m_jobs.size(); }
    const std::unordered_map<std::string, StoredJob>& jobs() const { return m_jobs; }
    // Number of malformed records read so far.
    std::uint64_t malformedRecords() const { return m_malformed; }

private:
    void applyProgressPart(std::string_view key, std::string_view value, std::uint64_t offset);

    std::unordered_map<std::string, StoredJob> m_jobs;
    std::uint64_t m_malformed = 0;
};

} // namespace plantainhold
