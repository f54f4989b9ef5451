// At-most-once claims as the request path needs them. Between begin() and
// finish() or abandon(), the winner of a claim is the only instance in any data
// centre that may dispatch the request with this key.
#pragma once

#include "plantainhold/routing/ClaimDecision.h"

#include <cstdint>
#include <functional>
#include <string>

namespace plantainhold {

struct ClaimRequest {
    // The key is scoped by the team: two teams never see each other's keys.
    std::string team;
    std::string idempotencyKey;
    // Over method, target and body, so that a key with another request is told apart.
    std::uint64_t bodyHash = 0;
    // The caller's deadline; no verdict after it is of use.
    TimePoint deadline;
};

class ClaimPort {
public:
    using Callback = std::function<void(const ClaimDecision&)>;

    virtual ~ClaimPort() = default;

    // Asks for the right to run a request. The callback runs exactly once, on any
    // thread, also before begin() returns. Never throws. Thread-safe.
    virtual void begin(const ClaimRequest& request, Callback callback) = 0;

    // Records the outcome, which every repeat then gets. Precondition: claimId was
    // won and neither finished nor abandoned. Does not block. Thread-safe.
    virtual void finish(const std::string& claimId, ResultCode result, unsigned status) = 0;

    // Frees the key. Precondition: as finish(), and the request provably did not
    // run and never will. Does not block. Thread-safe.
    virtual void abandon(const std::string& claimId) = 0;

    // As abandon(), and `settled` runs once, on any thread: true when the log holds
    // the release, so that an honest repeat can run; false when that is not known
    // by the deadline. Say "not run" to the caller only after true.
    virtual void abandon(const std::string& claimId, TimePoint, std::function<void(bool isFree)> settled)
    {
        abandon(claimId);
        settled(true);
    }
};

} // namespace plantainhold
