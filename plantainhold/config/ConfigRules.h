// The rules that a document must keep to become a version. Every process applies
// them to every record, so that all accept and reject alike, whoever appended it.
#pragma once

#include "plantainhold/config/ConfigDocument.h"

#include <cstdint>
#include <optional>
#include <string>

namespace plantainhold {

// Counts the sets of rules. A record names the one that it was made for; a
// reader that knows only older ones stops there rather than guess.
constexpr std::uint32_t s_configSchema = 1;

// The first rule that the document breaks; nothing for a valid one. Depends on
// nothing but the document. Thread-safe.
std::optional<std::string> findConfigFault(const ConfigDocument& document);

} // namespace plantainhold
