// Encodes and decodes the messages between entry instances. All functions are thread-safe.
#pragma once

#include "plantainhold/entry/JobDirectory.h"

#include <optional>
#include <string>
#include <string_view>

namespace plantainhold {

std::string encodeJobRequest(const JobRequest& request);
// Returns std::nullopt if the bytes do not encode a JobRequest.
std::optional<JobRequest> decodeJobRequest(std::string_view bytes);
std::string encodeJobReply(const JobReply& reply);
// Returns std::nullopt if the bytes do not encode a JobReply.
std::optional<JobReply> decodeJobReply(std::string_view bytes);

} // namespace plantainhold
