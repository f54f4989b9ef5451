// The rules that a document must satisfy to become a version. Every process applies them to
// every record, so that all processes accept and reject the same records.
#pragma once

#include "plantainhold/config/ConfigDocument.h"

#include <cstdint>
#include <optional>
#include <string>

namespace plantainhold {

// The version of the set of rules. A record names the schema that it was written for; a reader
// that knows only older schemas stops there instead of guessing.
constexpr std::uint32_t s_configSchema = 1;

// Returns a description of the first rule that the document violates, or std::nullopt if it is
// valid. The result depends only on the document. Thread-safe.
std::optional<std::string> findConfigFault(const ConfigDocument& document);

} // namespace plantainhold
