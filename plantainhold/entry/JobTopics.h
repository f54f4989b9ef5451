// The topics in which entry instances keep jobs.
//
// Submissions and cancellations are spread over partitions by the job's id: the store
// takes one append to a partition at a time, and all instances append there. Progress
// has one writer, the owner, and one partition.
#pragma once

#include <cstdint>
#include <string_view>

namespace plantainhold {

inline constexpr std::string_view s_submissionsTopic = "keyed.submissions";
inline constexpr std::string_view s_progressTopic = "keyed.progress";
inline constexpr std::uint32_t s_progressPartition = 0;
// Among the progress of jobs, the record of who schedules them.
inline constexpr std::string_view s_ownerKey = "@owner";

// More partitions than these are not used: the owner waits for records of each.
inline constexpr std::uint32_t s_maxSubmissionPartitions = 16;

// The partition of a job's submission and cancellation. Precondition: parts > 0. Thread-safe.
std::uint32_t submissionPartition(std::string_view job, std::uint32_t partitions);

} // namespace plantainhold
