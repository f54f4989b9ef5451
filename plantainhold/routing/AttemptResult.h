// The result of one attempt to run a request on one executor, and whether the
// executor may have run it.
#pragma once

#include "plantainhold/base/ResultCode.h"
#include "plantainhold/ports/Clock.h"

#include <cstdint>

namespace plantainhold {

enum class AttemptEnd : std::uint8_t {
    // A complete response to this request was received.
    Answered,
    // The connection could not be established.
    ConnectFailed,
    // A connection existed, but it accepted no byte of the request.
    NotSent,
    // The executor reported that it did not run the request.
    Refused,
    // Bytes were sent; the connection broke before any byte of a response arrived.
    Lost,
    // Bytes were sent; no complete response arrived within the time limit.
    TimedOut,
    Truncated,
    TooLarge,
    Mismatched,
    Malformed,
    Count,
};

struct AttemptResult {
    AttemptEnd end = AttemptEnd::NotSent;
    // True if the connection had carried an earlier request.
    bool wasReused = false;
    // True if a write was started and RequestMachine::sending() was called for it.
    bool startedSending = false;
    // True if the response announces that the executor closes the connection
    // although HTTP/1.1 would keep it open.
    bool announcesClose = false;
    // True if the executor keeps the connection open for another request.
    bool keepsOpen = false;
    // From the first byte sent to the last byte of the response received.
    Duration latency {};
};

// Returns whether the executor may have run the request or may still run it.
// This function and those below are thread-safe.
bool mayHaveRun(AttemptEnd end);

// Returns the code to report to the caller if no later attempt succeeds.
ResultCode resultOf(AttemptEnd end);

// Returns the name used in log lines and metrics.
const char* nameOf(AttemptEnd end);

} // namespace plantainhold
