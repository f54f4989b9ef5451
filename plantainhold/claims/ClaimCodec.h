// Encodes claim records for the log and decodes them.
#pragma once

#include "plantainhold/claims/ClaimRecord.h"

#include <optional>
#include <string>
#include <string_view>

namespace plantainhold {

// Returns the serialized request::ClaimRecord message. Thread-safe.
std::string encodeClaimRecord(const ClaimRecord& record);

// Returns std::nullopt if the bytes do not encode a claim record. Thread-safe.
std::optional<ClaimRecord> decodeClaimRecord(std::string_view bytes);

} // namespace plantainhold
