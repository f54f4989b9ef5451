// One claim's life on the instance that made it: from the append of the claim to
// its outcome or withdrawal. Pure: it is told what happened and says what to do.
//
// Three rules make its answers true. It wins only by reading its own claim back.
// It never says "not run" while its claim could still land in the log and hold
// the key: a tombstone has to be in the log first. And what it has withdrawn it
// never dispatches, whatever lands later.
#pragma once

#include "plantainhold/claims/ClaimRecord.h"
#include "plantainhold/claims/ClaimReducer.h"
#include "plantainhold/ports/Clock.h"
#include "plantainhold/ports/LogPort.h"
#include "plantainhold/routing/ClaimDecision.h"

#include <cstdint>
#include <optional>

namespace plantainhold {

// The product keeps every rule; a proof's negative control drops one.
struct ClaimRules {
    bool readsBack = true;
    bool checksValidity = true;
    bool writesTombstone = true;
};

struct ClaimTimes {
    // Taken before the claim was handed to the log.
    TimePoint sentAt;
    // The claim may be dispatched before this time only.
    TimePoint validUntil;
    // When to stop waiting for the claim to be read back.
    TimePoint giveUpAt;
    // When the caller has to be told something.
    TimePoint deadline;
    // How long to go on trying to write the last word on the claim.
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
        // A tombstone is being written.
        Withdrawing,
        // The outcome is being written.
        Finishing,
        Closed,
    };

    // The claim itself has been handed to the log. Not thread-safe, as all that follows.
    ClaimLifecycle(const ClaimRecord& claim, const ClaimTimes& times, const ClaimRules& rules);

    // The append of the claim is settled.
    ClaimStep claimAppendCompleted(AppendStatus status, TimePoint now);
    // The claim was read; `effect` is what it did and `state` its key's state after it.
    ClaimStep claimRead(ClaimEffect effect, const ClaimKeyState& state, TimePoint now);
    // The append of the last word, tombstone or outcome, is settled.
    ClaimStep finalAppendCompleted(AppendStatus status, TimePoint now);
    // The last word was read back.
    ClaimStep finalRecordRead();
    // Time has passed.
    ClaimStep timePassed(TimePoint now);

    // The request was answered. Precondition: phase() is Won.
    ClaimStep finish(std::uint32_t result, std::uint32_t status, TimePoint now);
    // The request did not run and never will; the answer says whether the key is
    // free by the deadline. Precondition: phase() is Won.
    ClaimStep abandon(TimePoint deadline, TimePoint now);

    Phase phase() const { return m_phase; }
    bool isClosed() const { return m_phase == Phase::Closed; }
    // Whether it closed without its last word in the log.
    bool gaveUp() const { return m_gaveUp; }
    // The claim with, once finished, its outcome.
    const ClaimRecord& record() const { return m_record; }
    const ClaimTimes& times() const { return m_times; }
    bool hasDecided() const { return m_hasDecided; }
    // When it stops trying to write its last word; the epoch before it has begun.
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

// What a repeat is told while another claim stands on its key. Thread-safe.
// Precondition: the key is not free.
ClaimDecision decisionForTakenKey(const ClaimKeyState& state, std::uint64_t bodyHash, TimePoint now);

} // namespace plantainhold
