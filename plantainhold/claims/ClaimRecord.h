// One record of a claim stream, as ClaimReducer and ClaimLifecycle use it.
#pragma once

#include "plantainhold/claims/ClaimKey.h"
#include "plantainhold/ports/Clock.h"

#include <cstdint>

namespace plantainhold {

enum class ClaimRecordKind : std::uint8_t {
    Claim,
    Abandoned,
    Outcome,
    Retained,
    Forgotten,
};

struct ClaimRecord {
    ClaimRecordKind kind = ClaimRecordKind::Claim;
    ClaimId id;
    ClaimKey key;
    // Set for Claim and Retained.
    std::uint64_t holder = 0;
    Milliseconds validity { 0 };
    Milliseconds runLimit { 0 };
    // Set for Claim, Outcome and Retained.
    std::uint64_t bodyHash = 0;
    // Set for Outcome, and for Retained if hasEnded.
    bool hasEnded = false;
    std::uint32_t result = 0;
    std::uint32_t status = 0;
    // Retained: the offset of the newest record on the key.
    // Forgotten: the last offset that is forgotten.
    std::uint64_t offset = 0;

    bool operator==(const ClaimRecord&) const = default;
};

} // namespace plantainhold
