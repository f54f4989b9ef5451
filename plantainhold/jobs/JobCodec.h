// Encoding of submissions and progress in the store.
#pragma once

#include "plantainhold/jobs/JobProgress.h"
#include "plantainhold/jobs/JobSpec.h"

#include <optional>
#include <string>
#include <string_view>

namespace plantainhold {

// All functions are thread-safe. The decoders return std::nullopt for malformed records.
std::string encodeSubmission(const JobSpec& spec);
std::optional<JobSpec> decodeSubmission(std::string_view bytes);

std::string encodeProgress(const JobProgress& progress);
// Decodes state and hasStarted only; tasks is left empty.
std::optional<JobProgress> decodeProgressSummary(std::string_view bytes);
std::optional<JobProgress> decodeProgress(std::string_view bytes);

} // namespace plantainhold
