// The topics in which entry instances store jobs.
//
// Submissions and cancellations are spread over partitions by the job's id, because
// all instances append to them and the store accepts one append per partition at a
// time. Progress has a single writer, the owner, and a single partition.
#pragma once

#include "plantainhold/jobs/OwnerTerm.h"

#include <cstdint>
#include <string_view>

namespace plantainhold {

inline constexpr std::string_view s_submissionsTopic = "keyed.submissions";
inline constexpr std::string_view s_progressTopic = "keyed.progress";
inline constexpr std::uint32_t s_progressPartition = 0;
// Key in the progress topic of the record that describes the owner's term.
inline constexpr std::string_view s_ownerKey = OwnerTerm::s_key;

// Upper limit for the number of partitions, because the owner keeps a read open on each of them.
inline constexpr std::uint32_t s_maxSubmissionPartitions = 16;

// Returns the partition of a job's submission and cancellation. Precondition: partitions > 0. Thread-safe.
std::uint32_t submissionPartition(std::string_view job, std::uint32_t partitions);

} // namespace plantainhold
