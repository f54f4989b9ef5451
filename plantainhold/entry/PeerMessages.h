// The messages between entry instances as bytes.
#pragma once

#include "plantainhold/entry/JobDirectory.h"

#include <optional>
#include <string>
#include <string_view>

namespace plantainhold {

std::string encodeJobRequest(const JobRequest& request);
// Nothing for bytes that are no question. Thread-safe, as all functions here.
std::optional<JobRequest> decodeJobRequest(std::string_view bytes);
std::string encodeJobReply(const JobReply& reply);
// Nothing for bytes that are no reply.
std::optional<JobReply> decodeJobReply(std::string_view bytes);

} // namespace plantainhold
