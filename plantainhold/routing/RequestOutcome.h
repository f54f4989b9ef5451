// The three outcomes that are reported to a caller. They are derived from the
// result code alone, so that a code and its outcome can never contradict.
#pragma once

#include "plantainhold/base/ResultCode.h"

#include <cstdint>
#include <string_view>

namespace plantainhold {

enum class OutcomeKind : std::uint8_t {
    Done,
    // The request did not run, and it never will.
    NotRun,
    // The request may have run, may be running, or may still run.
    Unknown,
};

// Returns the outcome of a result code. Precondition: code is a result of a
// request (2000-2999). Thread-safe.
OutcomeKind outcomeKind(ResultCode code);

// Returns the value of the Plantainhold-Outcome header: "done", "not-run" or
// "unknown". Thread-safe.
std::string_view outcomeName(OutcomeKind kind);

// Returns the HTTP status of a result that did not come from an executor. Thread-safe.
unsigned httpStatusOf(ResultCode code);

// Returns whether the same request may succeed soon, so that the response carries
// Retry-After. Thread-safe.
bool isWorthRetrying(ResultCode code);

} // namespace plantainhold
