// The three outcomes that a caller can be told, derived from the result code
// alone, so that a code can never be sent with the wrong claim about the work.
#pragma once

#include "plantainhold/base/ResultCode.h"

#include <cstdint>
#include <string_view>

namespace plantainhold {

enum class OutcomeKind : std::uint8_t {
    Done,
    // Nothing reached an executor, and nothing can later.
    NotRun,
    // It may have run, may be running, or may still run.
    Unknown,
};

// Precondition: code is a result of a request (2000-2999). Thread-safe.
OutcomeKind outcomeKind(ResultCode code);

// As the Plantainhold-Outcome header says it: "done", "not-run" or "unknown". Thread-safe.
std::string_view outcomeName(OutcomeKind kind);

// The HTTP status that goes with a result that no executor answered. Thread-safe.
unsigned httpStatusOf(ResultCode code);

// Whether the same request may succeed a little later, so that the answer carries
// Retry-After. Thread-safe.
bool isWorthRetrying(ResultCode code);

} // namespace plantainhold
