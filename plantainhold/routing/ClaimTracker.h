// Tracks the claim of one non-idempotent request: whether the request may be
// dispatched, how its claim ends, and which result may be reported to the caller.
// "Not run" may be reported only while the key is certainly free, because
// otherwise the caller's repeat of the request could be blocked.
#pragma once

#include "plantainhold/base/ResultCode.h"
#include "plantainhold/routing/ClaimDecision.h"

#include <cstdint>
#include <optional>
#include <string>

namespace plantainhold {

class ClaimTracker {
public:
    enum class FinalAction : std::uint8_t {
        // Nothing to do: there is no claim, or its final action was already returned.
        None,
        // Record the outcome of the request.
        Finish,
        // Free the key; released() reports later whether it is free.
        Release,
    };

    // The claim request was sent. No member function is thread-safe.
    void requested();

    // Stores the decision. Returns std::nullopt if the request may run, and
    // otherwise the reason why it must not.
    std::optional<ResultCode> decided(const ClaimDecision& decision);

    // Returns whether the request may be sent now. It may if there is no claim.
    bool maySend(TimePoint now);

    // Returns how to end the claim. Precondition: no attempt is running.
    FinalAction finalize(bool isAnswered, bool mayHaveRun);
    void released(bool isFree);

    // Returns whether the response to the caller must wait for the release.
    bool isReleasing() const { return m_state == State::Releasing; }
    bool hasLapsed() const { return m_hasLapsed; }
    const std::string& id() const { return m_decision.claimId; }
    const ClaimDecision& decision() const { return m_decision; }

    // Returns the code to report: a "not run" code becomes "outcome unknown"
    // while the key may be held.
    ResultCode reportableResult(ResultCode code) const;

private:
    enum class State : std::uint8_t {
        None,
        Requested,
        Held,
        Releasing,
        Settled,
        // It is unknown whether the key is free.
        Uncertain,
    };

    State m_state = State::None;
    ClaimDecision m_decision;
    bool m_hasLapsed = false;
};

} // namespace plantainhold
