// What one instance knows of its peers, by anti-entropy: two instances compare
// digests, and only what differs is sent. Pure; the module carries the messages.
//
// A heartbeat that advances is evidence of life, however many instances passed
// it on. An instance's own word goes before hearsay: after a restart the new
// incarnation counts at once where it spoke itself, elsewhere only when the old
// one has fallen silent, as nobody can tell from hearsay which of two is newer.
#pragma once

#include "plantainhold/membership/EntryInstance.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace plantainhold {

struct PeerState {
    EntryInstance instance;
    std::uint64_t heartbeat = 0;
    std::uint64_t revision = 0;
};

struct PeerDigest {
    std::uint64_t idHash = 0;
    std::uint32_t incarnationHash = 0;
    std::uint64_t heartbeat = 0;
    std::uint64_t revision = 0;
};

struct PeerDelta {
    std::vector<PeerState> newer;
    std::vector<PeerDigest> later;
};

class PeerTable {
public:
    struct Limits {
        // An incarnation that is silent this long gives way to another one by hearsay.
        Milliseconds unresponsiveTimeout { 6000 };
        // What was not heard this long is no longer passed on, and is dropped.
        Milliseconds retention { 60'000 };
    };

    PeerTable(const EntryInstance& self, const Limits& limits);

    // Advances the own heartbeat and takes up the own state. Not thread-safe, as all that follows.
    void advanceHeartbeat(std::uint64_t configVersion, bool isDraining, TimePoint now);

    const PeerState& self() const { return m_self; }

    // One digest for each instance that is remembered.
    std::vector<PeerDigest> digests(TimePoint now) const;

    // What the one who sent these digests does not know.
    PeerDelta deltaFor(const std::vector<PeerDigest>& known, TimePoint now) const;

    // The instance itself spoke.
    void mergeSender(const PeerState& sender, TimePoint now);
    // Another instance told it.
    void mergeDelta(const PeerDelta& delta, TimePoint now);

    // All that are remembered, without oneself, in the order of their ids.
    std::vector<EntryInstance> peers(TimePoint now) const;

    void removeExpired(TimePoint now);

private:
    void merge(const PeerState& state, bool isDirect, TimePoint now);

    Limits m_limits;
    PeerState m_self;
    std::map<std::uint64_t, PeerState> m_peers;
};

} // namespace plantainhold
