// Interface of the request path to at-most-once claims on idempotency keys.
// From a won begin() until finish() or abandon(), the winner of the claim is the
// only instance in any data centre that may dispatch the request with this key.
#pragma once

#include "plantainhold/routing/ClaimDecision.h"

#include <cstdint>
#include <functional>
#include <string>

namespace plantainhold {

struct ClaimRequest {
    // Idempotency keys are scoped by team: equal keys of two teams are distinct.
    std::string team;
    std::string idempotencyKey;
    // Hash of method, target and body. It detects a key that is reused with a
    // different request.
    std::uint64_t bodyHash = 0;
    // The caller's deadline. A decision after it has no effect.
    TimePoint deadline;
};

class ClaimPort {
public:
    using Callback = std::function<void(const ClaimDecision&)>;

    virtual ~ClaimPort() = default;

    // Requests the right to run a request. The callback runs exactly once, on any
    // thread, possibly before begin() returns. Does not throw. Thread-safe.
    virtual void begin(const ClaimRequest& request, Callback callback) = 0;

    // Records the outcome, which is returned to every repeat of the request.
    // Precondition: claimId was won and neither finished nor abandoned. Does not
    // block. Thread-safe.
    virtual void finish(const std::string& claimId, ResultCode result, unsigned status) = 0;

    // Frees the key. Precondition: that of finish(), and the request certainly
    // did not run and never will. Does not block. Thread-safe.
    virtual void abandon(const std::string& claimId) = 0;

    // Like abandon(claimId), and runs `settled` once, on any thread: with true if
    // the log holds the release, so that a repeat of the request can run; with
    // false if that is unknown at the deadline. Report "not run" to the caller
    // only after true.
    virtual void abandon(const std::string& claimId, TimePoint, std::function<void(bool isFree)> settled)
    {
        abandon(claimId);
        settled(true);
    }
};

} // namespace plantainhold
