// The stored form of submissions and progress.
#pragma once

#include "plantainhold/jobs/JobProgress.h"
#include "plantainhold/jobs/JobSpec.h"

#include <optional>
#include <string>
#include <string_view>

namespace plantainhold {

// All functions are thread-safe; decoding gives nothing for bytes that are not such a record.
std::string encodeSubmission(const JobSpec& spec);
std::optional<JobSpec> decodeSubmission(std::string_view bytes);

std::string encodeProgress(const JobProgress& progress);
// State and beginning only; the tasks stay undecoded.
std::optional<JobProgress> decodeProgressSummary(std::string_view bytes);
std::optional<JobProgress> decodeProgress(std::string_view bytes);

} // namespace plantainhold
