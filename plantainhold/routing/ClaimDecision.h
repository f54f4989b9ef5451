// The answer to the question whether a non-idempotent request may run now.
#pragma once

#include "plantainhold/base/ResultCode.h"
#include "plantainhold/ports/Clock.h"

#include <cstdint>
#include <string>

namespace plantainhold {

enum class ClaimState : std::uint8_t {
    // Run it, and dispatch only before validUntil.
    Won,
    // A repeat: return the recorded outcome, never run it.
    Recorded,
    // A request with this key holds the claim; it may be running.
    InProgress,
    // The key was used with another request; this one is certainly not run.
    KeyReused,
    // No claim can be had now; certainly not run.
    NotAvailable,
    // The claim may have been taken; certainly not run by this call, but an
    // earlier request with this key may have.
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
    // Advice to the caller when NotAvailable or InProgress.
    Milliseconds retryAfter { 1000 };
};

} // namespace plantainhold
