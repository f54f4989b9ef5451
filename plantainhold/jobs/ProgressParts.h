// Divides the progress of a job among records. One record holds it all as long as the store takes that as
// one; the progress of a larger job is divided by ranges of its tasks, and only the parts that have
// changed are written again. A job that was divided once stays so until it ends.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace plantainhold {

struct JobProgress;
struct StoredJob;

class ProgressParts {
public:
    // Records are at most this large, unless 256 tasks alone exceed it.
    static constexpr std::size_t s_maxRecordBytes = 200'000;

    // Returns the job to which a key of the progress topic belongs, and whether it is the key of a part. Thread-safe.
    static std::string_view jobOf(std::string_view key) { return key.substr(0, key.find(s_separator)); }
    static bool isPart(std::string_view key) { return key.find(s_separator) != std::string_view::npos; }

    // Returns the records to write, by key; an empty value removes a record. The job's own record comes last: if it
    // is not stored, the former one and newer parts can still be read together. Not thread-safe.
    std::vector<std::pair<std::string, std::string>> encode(const std::string& job, const JobProgress& progress);
    // Returns the progress that the records hold, and notes which parts there are. std::nullopt if a record is
    // malformed. Not thread-safe.
    std::optional<JobProgress> decode(const StoredJob& stored);

private:
    static constexpr char s_separator = '.';

    // Hash of what was written last, by key of the part; empty while the job has one record.
    std::map<std::string, std::uint64_t> m_written;
};

} // namespace plantainhold
