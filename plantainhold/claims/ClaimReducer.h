// Folds one claim stream into who holds which key. Deterministic: log order
// alone decides, so every instance that has read a claim agrees on whether it won.
//
// A reader that starts in the middle of the stream knows fewer keys. It stays
// safe because each record on a key, also a losing claim, makes the key younger:
// a key is forgotten only when nothing on it has stood in the log for the
// retention, and by then both readers have forgotten it.
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
    // From the claim's append to the end of its run at the latest.
    Milliseconds busyLimit { 0 };
    std::uint32_t result = 0;
    std::uint32_t status = 0;
    // The newest record on the key; the retention counts from it.
    std::uint64_t newestOffset = 0;
    // The newest record from which a reader learns this state.
    std::uint64_t keptOffset = 0;
    // When this process read the claim; no decision on who wins depends on it.
    TimePoint readAt;
};

enum class ClaimEffect : std::uint8_t {
    None,
    // The claim holds its key now.
    Won,
    // Another claim holds the key or has ended on it; this one can never win.
    Lost,
    // The key is free again.
    Freed,
    Ended,
};

class ClaimReducer {
public:
    // Applies one record in log order; `now` is when it was read. Amortized
    // constant, but for Forgotten, which is linear in the keys. Not thread-safe.
    ClaimEffect apply(const ClaimRecord& record, std::uint64_t offset, TimePoint now);

    // The state of a key; Free when it is not known.
    ClaimKeyState find(const ClaimKey& key) const;

    // Retained records for every known key that a reader would miss if it began
    // at the offset. Linear in the keys.
    std::vector<ClaimRecord> retainedBefore(std::uint64_t offset) const;

    // Keys and void ids that are remembered.
    std::size_t size() const { return m_keys.size() + m_voidClaims.size(); }

    std::uint64_t forgottenThrough() const { return m_forgottenThrough; }

private:
    ClaimEffect applyClaim(const ClaimRecord& record, std::uint64_t offset, TimePoint now);
    ClaimEffect applyAbandoned(const ClaimRecord& record, std::uint64_t offset);
    ClaimEffect applyOutcome(const ClaimRecord& record, std::uint64_t offset, TimePoint now);
    ClaimEffect applyRetained(const ClaimRecord& record, std::uint64_t offset, TimePoint now);
    ClaimEffect applyForgotten(const ClaimRecord& record, std::uint64_t offset);

    std::unordered_map<ClaimKey, ClaimKeyState> m_keys;
    // Claims that can never win, with the offset that made them so.
    std::unordered_map<ClaimId, std::uint64_t> m_voidClaims;
    // One past the last forgotten offset, so that 0 means none.
    std::uint64_t m_forgottenThrough = 0;
};

} // namespace plantainhold
