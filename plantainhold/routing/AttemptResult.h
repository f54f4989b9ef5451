// How one attempt of a request at one executor ended, and what that proves.
#pragma once

#include "plantainhold/base/ResultCode.h"
#include "plantainhold/ports/Clock.h"

#include <cstdint>

namespace plantainhold {

enum class AttemptEnd : std::uint8_t {
    // The whole answer to this very request came.
    Answered,
    // No connection could be made.
    ConnectFailed,
    // There was a connection, but no byte of the request was accepted by it.
    NotSent,
    // The executor says itself that it did not run the request.
    Refused,
    // Bytes left; the connection broke before any byte of an answer.
    Lost,
    // Bytes left; no whole answer within the time given.
    TimedOut,
    Truncated,
    TooLarge,
    Mismatched,
    Malformed,
    Count,
};

struct AttemptResult {
    AttemptEnd end = AttemptEnd::NotSent;
    // The connection had carried an earlier request.
    bool wasReused = false;
    // A write was begun; RequestMachine::sending() was called for it.
    bool startedSending = false;
    // The executor ends a connection that was meant to be kept.
    bool announcesClose = false;
    // The executor keeps the connection open for another request.
    bool keepsOpen = false;
    // From the first byte sent to the last byte of the answer.
    Duration latency {};
};

// Whether the executor may have run the request, now or later. Thread-safe, as
// all that follows.
bool mayHaveRun(AttemptEnd end);

// What the caller is told when nothing better comes.
ResultCode resultOf(AttemptEnd end);

// For log lines.
const char* nameOf(AttemptEnd end);

} // namespace plantainhold
