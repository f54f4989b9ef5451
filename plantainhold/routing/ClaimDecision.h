// The decision whether a non-idempotent request may run now.
#pragma once

#include "plantainhold/base/ResultCode.h"
#include "plantainhold/ports/Clock.h"

#include <cstdint>
#include <string>

namespace plantainhold {

enum class ClaimState : std::uint8_t {
    // The request may run; dispatch it only before validUntil.
    Won,
    // The request is a repeat: return the recorded outcome and do not run it.
    Recorded,
    // Another request with this key holds the claim and may be running.
    InProgress,
    // The key was used with a different request; this one certainly does not run.
    KeyReused,
    // No claim can be made now; the request certainly does not run.
    NotAvailable,
    // The claim may have been taken. This call certainly does not run the
    // request, but an earlier request with this key may have run.
    OutcomeUnknown,
};

struct ClaimDecision {
    ClaimState state = ClaimState::NotAvailable;
    // Set when Won.
    std::string claimId;
    TimePoint validUntil;
    // Set when Recorded.
    ResultCode result = ResultCode::Done;
    unsigned status = 0;
    // Retry delay for the caller. Used for NotAvailable and InProgress.
    Milliseconds retryAfter { 1000 };
};

} // namespace plantainhold
