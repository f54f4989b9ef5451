// The state machine of one claim on the instance that made it: from the append of
// the claim to its outcome or withdrawal. It does no I/O: each event returns the
// next step.
//
// Three rules make its decisions correct. A claim wins only when it is read back
// from the log. "Not run" is never reported while the claim could still be
// appended to the log and hold the key: a tombstone must be in the log first. A
// withdrawn claim is never dispatched, whatever is appended later.
#pragma once

#include "plantainhold/claims/ClaimRecord.h"
#include "plantainhold/claims/ClaimReducer.h"
#include "plantainhold/ports/Clock.h"
#include "plantainhold/ports/LogPort.h"
#include "plantainhold/routing/ClaimDecision.h"

#include <cstdint>
#include <optional>

namespace plantainhold {

// All rules apply in production; each negative control of a test disables one.
struct ClaimRules {
    bool readsBack = true;
    bool checksValidity = true;
    bool writesTombstone = true;
};

struct ClaimTimes {
    // Time just before the claim was submitted to the log.
    TimePoint sentAt;
    // The request may be dispatched only before this time.
    TimePoint validUntil;
    // When to stop waiting until the claim is read back.
    TimePoint giveUpAt;
    // When a decision must be returned to the caller.
    TimePoint deadline;
    // How long to retry the append of the claim's final record (its outcome or
    // tombstone).
    Milliseconds retryFor { 60'000 };
    Milliseconds retryInterval { 100 };
};

struct ClaimStep {
    bool appendsAbandoned = false;
    bool appendsOutcome = false;
    std::optional<ClaimDecision> decision;
};

class ClaimLifecycle {
public:
    enum class Phase : std::uint8_t {
        Claiming,
        Won,
        // The tombstone (Abandoned record) is being written.
        Withdrawing,
        // The outcome is being written.
        Finishing,
        Closed,
    };

    // The claim record has been submitted to the log. No member function is
    // thread-safe.
    ClaimLifecycle(const ClaimRecord& claim, const ClaimTimes& times, const ClaimRules& rules);

    // The append of the claim completed with a status.
    ClaimStep claimAppendCompleted(AppendStatus status, TimePoint now);
    // The claim was read from the log; `effect` is its effect, and `state` is the
    // resulting state of its key.
    ClaimStep claimRead(ClaimEffect effect, const ClaimKeyState& state, TimePoint now);
    // The append of the final record (tombstone or outcome) completed with a status.
    ClaimStep finalAppendCompleted(AppendStatus status, TimePoint now);
    // The final record was read from the log.
    ClaimStep finalRecordRead();
    // Time has passed.
    ClaimStep timePassed(TimePoint now);

    // The request ended with this outcome. Precondition: phase() is Won.
    ClaimStep finish(std::uint32_t result, std::uint32_t status, TimePoint now);
    // The request did not run and never will. A later step decides by the
    // deadline whether the key is free: NotAvailable if it is, and OutcomeUnknown
    // if that is unknown. Precondition: phase() is Won.
    ClaimStep abandon(TimePoint deadline, TimePoint now);

    Phase phase() const { return m_phase; }
    bool isClosed() const { return m_phase == Phase::Closed; }
    // Returns whether the claim was closed without its final record in the log.
    bool gaveUp() const { return m_gaveUp; }
    // Returns the claim, with its outcome once it is finished.
    const ClaimRecord& record() const { return m_record; }
    const ClaimTimes& times() const { return m_times; }
    bool hasDecided() const { return m_hasDecided; }
    // Returns when it stops retrying the append of the final record; the epoch if
    // it has not started.
    TimePoint finalRecordDeadline() const { return m_retryUntil; }

private:
    ClaimStep decide(ClaimState state);
    ClaimStep close(ClaimState state);
    ClaimStep win(TimePoint now);
    ClaimStep withdraw(TimePoint now);
    ClaimStep startFinalRecord(Phase phase, TimePoint now);
    ClaimStep retryFinalRecord(TimePoint now);

    ClaimRecord m_record;
    ClaimTimes m_times;
    ClaimRules m_rules;
    Phase m_phase = Phase::Claiming;
    bool m_hasDecided = false;
    bool m_isAppending = false;
    bool m_gaveUp = false;
    TimePoint m_nextTry;
    TimePoint m_retryUntil;
};

// Returns the decision for a request whose key is already held or ended by another
// claim. Precondition: the key is not free. Thread-safe.
ClaimDecision decisionForTakenKey(const ClaimKeyState& state, std::uint64_t bodyHash, TimePoint now);

} // namespace plantainhold
