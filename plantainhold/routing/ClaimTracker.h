// The claim of one non-idempotent request as the request sees it: whether it may
// be dispatched, how the claim ends, and what may be told to the caller. "Not run"
// may only be told while the key is certainly free, or the honest repeat after
// it would be kept from running.
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
        // Nothing to do: there is no claim, or it was settled before.
        None,
        // Record how the request ended.
        Finish,
        // Free the key; released() says later whether it is free.
        Release,
    };

    // The question is on its way. Not thread-safe, as all here.
    void requested();

    // Takes the answer. Returns why the request must not run; nothing when it may.
    std::optional<ResultCode> decided(const ClaimDecision& decision);

    // Whether a request under this claim may be sent now. Without a claim it may.
    bool maySend(TimePoint now);

    // How the claim ends. Precondition: no attempt is open any more.
    FinalAction finalize(bool isAnswered, bool mayHaveRun);
    void released(bool isFree);

    // The caller's answer has to wait for the release.
    bool isReleasing() const { return m_state == State::Releasing; }
    bool hasLapsed() const { return m_hasLapsed; }
    const std::string& id() const { return m_decision.claimId; }
    const ClaimDecision& decision() const { return m_decision; }

    // The code to tell: a "not run" turns into "unknown" while the key may be held.
    ResultCode reportableResult(ResultCode code) const;

private:
    enum class State : std::uint8_t {
        None,
        Requested,
        Held,
        Releasing,
        Settled,
        // Whether the key is free is not known.
        Uncertain,
    };

    State m_state = State::None;
    ClaimDecision m_decision;
    bool m_hasLapsed = false;
};

} // namespace plantainhold
