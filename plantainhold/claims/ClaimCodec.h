// Converts claim records to and from the bytes in the log.
#pragma once

#include "plantainhold/claims/ClaimRecord.h"

#include <optional>
#include <string>
#include <string_view>

namespace plantainhold {

// Thread-safe.
std::string encodeClaimRecord(const ClaimRecord& record);

// Nothing for bytes that are no claim record. Thread-safe.
std::optional<ClaimRecord> decodeClaimRecord(std::string_view bytes);

} // namespace plantainhold
