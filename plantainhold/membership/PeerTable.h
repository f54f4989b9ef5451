// The state of an instance's peers, synchronised by anti-entropy gossip: two instances
// compare digests and send only the entries that differ. Performs no I/O; the
// membership module transfers the messages.
//
// A heartbeat that advances proves that the instance was alive, regardless of the
// number of instances that forwarded it. State received from the instance itself takes
// precedence over forwarded state: after a restart the new incarnation is accepted
// immediately by the instances that it contacts directly, and by others only once the
// old incarnation is unresponsive, because forwarded state does not show which of two
// incarnations is newer.
#pragma once

#include "plantainhold/membership/EntryInstance.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace plantainhold {

struct PeerState {
    EntryInstance instance;
    // Increases while the incarnation runs.
    std::uint64_t heartbeat = 0;
    // Counts changes of the configuration version and the draining flag.
    std::uint64_t revision = 0;
};

// PeerDigest summarises a PeerState so that two tables can be compared cheaply.
struct PeerDigest {
    std::uint64_t idHash = 0;
    std::uint32_t incarnationHash = 0;
    std::uint64_t heartbeat = 0;
    std::uint64_t revision = 0;
};

struct PeerDelta {
    // States that the receiver does not have.
    std::vector<PeerState> newer;
    // Entries of which only the heartbeat is newer.
    std::vector<PeerDigest> later;
};

class PeerTable {
public:
    struct Limits {
        // An incarnation without a new heartbeat for this long may be replaced by a
        // forwarded one, and is no longer forwarded itself.
        Milliseconds unresponsiveTimeout { 6000 };
        // An entry without a new heartbeat for this long is left out of digests and
        // peers(), and is removed.
        Milliseconds retention { 60'000 };
    };

    PeerTable(const EntryInstance& self, const Limits& limits);

    // Advances this instance's heartbeat and updates its state. Not thread-safe, like
    // all functions of this class.
    void advanceHeartbeat(std::uint64_t configVersion, bool isDraining, TimePoint now);

    const PeerState& self() const { return m_self; }

    // Returns one digest for this instance and each retained peer.
    std::vector<PeerDigest> digests(TimePoint now) const;

    // Returns the entries that are newer than those of the sender of these digests.
    PeerDelta deltaFor(const std::vector<PeerDigest>& known, TimePoint now) const;

    // Merges state that was received from the instance itself.
    void mergeSender(const PeerState& sender, TimePoint now);
    // Merges state that another instance forwarded.
    void mergeDelta(const PeerDelta& delta, TimePoint now);

    // Returns all retained peers in the order of their ids, without this instance.
    std::vector<EntryInstance> peers(TimePoint now) const;

    // Removes the peers whose retention has ended.
    void removeExpired(TimePoint now);

private:
    void merge(const PeerState& state, bool isDirect, TimePoint now);

    Limits m_limits;
    PeerState m_self;
    std::map<std::uint64_t, PeerState> m_peers;
};

} // namespace plantainhold
