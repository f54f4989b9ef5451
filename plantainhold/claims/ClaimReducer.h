// Replays one claim stream to determine which claim holds which key. It is
// deterministic: only log order matters, so all instances that have read a claim
// agree on whether it won.
//
// A reader that starts in the middle of the stream knows fewer keys. This is safe
// because each record on a key, including a losing claim, extends the key's life:
// a key is forgotten only if the log has had no record on it for the retention
// time, and by then every reader has forgotten it.
#pragma once

#include "plantainhold/claims/ClaimRecord.h"
#include "plantainhold/ports/Clock.h"

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace plantainhold {

enum class ClaimPhase : std::uint8_t {
    Free,
    Held,
    Ended,
};

struct ClaimKeyState {
    ClaimPhase phase = ClaimPhase::Free;
    ClaimId id;
    std::uint64_t holder = 0;
    std::uint64_t bodyHash = 0;
    // Maximum time from the append of the claim to the end of its run.
    Milliseconds busyLimit { 0 };
    std::uint32_t result = 0;
    std::uint32_t status = 0;
    // The newest record on the key. The retention starts with it.
    std::uint64_t newestOffset = 0;
    // The newest record from which a reader can restore this state.
    std::uint64_t keptOffset = 0;
    // When this process read the claim. It does not affect which claim wins.
    TimePoint readAt;
};

enum class ClaimEffect : std::uint8_t {
    None,
    // The claim now holds its key.
    Won,
    // Another claim holds the key or has recorded an outcome for it; this one can
    // never win.
    Lost,
    // The claim was abandoned, and its key is free again.
    Freed,
    Ended,
};

class ClaimReducer {
public:
    // Applies the next record in log order; `now` is when it was read. Takes
    // amortized constant time, except for Forgotten, which is linear in the number
    // of keys. Not thread-safe.
    ClaimEffect apply(const ClaimRecord& record, std::uint64_t offset, TimePoint now);

    // Returns the state of a key, which is Free if the key is unknown.
    ClaimKeyState find(const ClaimKey& key) const;

    // Returns a Retained record for every known key that a reader would miss if
    // it started at the offset. Linear in the number of keys.
    std::vector<ClaimRecord> retainedBefore(std::uint64_t offset) const;

    // Returns the number of remembered keys and void claims.
    std::size_t size() const { return m_keys.size() + m_voidClaims.size(); }

    std::uint64_t forgottenThrough() const { return m_forgottenThrough; }

private:
    ClaimEffect applyClaim(const ClaimRecord& record, std::uint64_t offset, TimePoint now);
    ClaimEffect applyAbandoned(const ClaimRecord& record, std::uint64_t offset);
    ClaimEffect applyOutcome(const ClaimRecord& record, std::uint64_t offset, TimePoint now);
    ClaimEffect applyRetained(const ClaimRecord& record, std::uint64_t offset, TimePoint now);
    ClaimEffect applyForgotten(const ClaimRecord& record, std::uint64_t offset);

    std::unordered_map<ClaimKey, ClaimKeyState> m_keys;
    // Claims that can never win, with the offset of the record that decided it.
    std::unordered_map<ClaimId, std::uint64_t> m_voidClaims;
    // One past the last forgotten offset; 0 if nothing is forgotten.
    std::uint64_t m_forgottenThrough = 0;
};

} // namespace plantainhold
