// Divides the progress of a job among records. One record holds it all as long as the store takes that as
// one; the progress of a larger job is divided by ranges of its tasks, a range that is too large by its halves,
// and only the parts that have changed are written again. What was divided once stays so until the job ends. The job's
// own record names the occurrences that are done, and parts of their own the steps and ranges that are done as a whole,
// by blocks of occurrences.
//
// The records of one call may be stored by several appends, of which the last ones may never be made. So a part
// that others have replaced is removed only after these are stored: of two parts with one task the newer counts, and
// what any record names as done is done.
#pragma once

#include "plantainhold/jobs/IndexRange.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace plantainhold {

struct DoneSteps;
struct DoneTasks;
struct JobProgress;
struct StoredJob;
struct TaskProgress;

class ProgressParts {
public:
    // Most bytes of a task's progress apart from its checkpoint.
    static constexpr std::size_t s_maxTaskBytes = 512;

    // Returns the job to which a key of the progress topic belongs, and whether it is the key of a part. Thread-safe.
    static std::string_view jobOf(std::string_view key) { return key.substr(0, key.find(s_separator)); }
    static bool isPart(std::string_view key) { return key.find(s_separator) != std::string_view::npos; }

    // Returns the records to write, by key, with values of at most `maxBytes`; an empty value removes a record. The
    // job's own record comes last: if it is not stored, the former one and newer parts can still be read together.
    // Precondition: no task has a checkpoint larger than `maxBytes` less s_maxTaskBytes. Not thread-safe.
    std::vector<std::pair<std::string, std::string>> encode(const std::string& job, const JobProgress& progress, std::size_t maxBytes);
    // To be called if the store did not take the record of this key: it is returned again. Not thread-safe.
    void recordRefused(std::string_view key);
    // Returns the progress that the records hold, and notes which parts there are. std::nullopt if a record is
    // malformed. Not thread-safe.
    std::optional<JobProgress> decode(const StoredJob& stored);

private:
    static constexpr char s_separator = '.';
    using Records = std::map<std::string, std::string>;

    // Consecutive tasks of a step, those of them that have progress, and those that are done.
    struct TaskRange {
        std::uint32_t occurrence = 0;
        std::uint32_t step = 0;
        IndexRange indexes;
        std::span<const TaskProgress> tasks;
        std::vector<IndexRange> done;

        // Returns the part of it with these indexes.
        TaskRange part(IndexRange range) const;
    };

    // Returns the largest ranges that have progress; those that are done as a whole are added to `done` instead.
    static std::vector<TaskRange> rangesOf(const JobProgress& progress, std::vector<DoneTasks>& done);
    // Adds the records of what is done as a whole in occurrences that are not: steps, and the largest ranges.
    static void addDoneParts(const std::string& job, std::span<const DoneSteps> steps, std::span<const DoneTasks> ranges, Records& records);
    // Adds the records of a range.
    void addRange(const std::string& key, const TaskRange& range, std::size_t maxBytes, Records& records) const;
    // Returns whether the range of this key was divided.
    bool isDivided(const std::string& key) const;

    // Hash of what was written last, by key of the part; empty while the job has one record.
    std::map<std::string, std::uint64_t> m_written;
    // Keys of parts that others have replaced; they are removed by the next call.
    std::set<std::string> m_replaced;
};

} // namespace plantainhold
