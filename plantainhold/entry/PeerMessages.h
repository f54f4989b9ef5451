// The messages between entry instances as bytes.
#pragma once

#include "plantainhold/entry/JobDirectory.h"

#include <optional>
#include <string>
#include <string_view>

namespace plantainhold {

std::string encodeQuestion(const JobQuestion& question);
// Nothing for bytes that are no question. Thread-safe, as all functions here.
std::optional<JobQuestion> decodeQuestion(std::string_view bytes);
std::string encodeReply(const JobReply& reply);
// Nothing for bytes that are no reply.
std::optional<JobReply> decodeReply(std::string_view bytes);

} // namespace plantainhold
