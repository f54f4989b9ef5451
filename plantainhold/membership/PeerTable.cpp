// Computes digests and deltas, and merges received state.

#include "plantainhold/membership/PeerTable.h"

#include "plantainhold/util/Hash.h"

#include <algorithm>

namespace plantainhold {

namespace {

    PeerDigest digestOf(const PeerState& state)
    {
        return { hash64(state.instance.id), static_cast<std::uint32_t>(hash64(state.instance.incarnation)), state.heartbeat, state.revision };
    }

    const PeerDigest* findDigest(const std::vector<PeerDigest>& known, std::uint64_t idHash)
    {
        auto it = std::find_if(known.begin(), known.end(), [idHash](const PeerDigest& one) { return one.idHash == idHash; });
        return it == known.end() ? nullptr : &*it;
    }

    void appendDifference(const PeerState& state, const std::vector<PeerDigest>& known, PeerDelta& delta)
    {
        PeerDigest mine = digestOf(state);
        const PeerDigest* theirs = findDigest(known, mine.idHash);
        if (!theirs || theirs->incarnationHash != mine.incarnationHash || theirs->revision < mine.revision)
            delta.newer.push_back(state);
        else if (theirs->heartbeat < mine.heartbeat)
            delta.later.push_back(mine);
    }

} // namespace

PeerTable::PeerTable(const EntryInstance& self, const Limits& limits)
    : m_limits(limits)
    , m_self { self }
{
}

void PeerTable::advanceHeartbeat(std::uint64_t configVersion, bool isDraining, TimePoint now)
{
    EntryInstance& instance = m_self.instance;
    bool isChanged = instance.configVersion != configVersion || instance.isDraining != isDraining;
    instance.configVersion = configVersion;
    instance.isDraining = isDraining;
    instance.lastHeartbeatAt = now;
    m_self.revision += isChanged ? 1 : 0;
    ++m_self.heartbeat;
}

std::vector<PeerDigest> PeerTable::digests(TimePoint now) const
{
    std::vector<PeerDigest> digests { digestOf(m_self) };
    for (const auto& [hash, state] : m_peers) {
        if (now < state.instance.lastHeartbeatAt + m_limits.retention)
            digests.push_back(digestOf(state));
    }
    return digests;
}

PeerDelta PeerTable::deltaFor(const std::vector<PeerDigest>& known, TimePoint now) const
{
    PeerDelta delta;
    for (const auto& [hash, state] : m_peers) {
        // The receiver would take a stale entry for a new heartbeat, so forwarding it
        // would keep a dead instance in the tables forever.
        if (now < state.instance.lastHeartbeatAt + m_limits.unresponsiveTimeout)
            appendDifference(state, known, delta);
    }
    return delta;
}

void PeerTable::mergeSender(const PeerState& sender, TimePoint now)
{
    merge(sender, true, now);
}

void PeerTable::mergeDelta(const PeerDelta& delta, TimePoint now)
{
    for (const PeerState& it : delta.newer)
        merge(it, false, now);
    for (const PeerDigest& it : delta.later) {
        auto found = m_peers.find(it.idHash);
        bool isAdvance = found != m_peers.end() && digestOf(found->second).incarnationHash == it.incarnationHash && it.heartbeat > found->second.heartbeat;
        if (!isAdvance)
            continue;
        found->second.heartbeat = it.heartbeat;
        found->second.instance.lastHeartbeatAt = now;
    }
}

void PeerTable::merge(const PeerState& state, bool isDirect, TimePoint now)
{
    if (state.instance.id == m_self.instance.id)
        return;
    auto [it, isNew] = m_peers.try_emplace(hash64(state.instance.id), state);
    PeerState& known = it->second;
    bool isOtherIncarnation = known.instance.incarnation != state.instance.incarnation;
    bool isUnresponsive = now >= known.instance.lastHeartbeatAt + m_limits.unresponsiveTimeout;
    bool isAccepted = isNew || (isOtherIncarnation ? isDirect || isUnresponsive : state.heartbeat > known.heartbeat || state.revision > known.revision);
    if (!isAccepted)
        return;
    known = state;
    known.instance.lastHeartbeatAt = now;
}

std::vector<EntryInstance> PeerTable::peers(TimePoint now) const
{
    std::vector<EntryInstance> peers;
    for (const auto& [hash, state] : m_peers) {
        if (now < state.instance.lastHeartbeatAt + m_limits.retention)
            peers.push_back(state.instance);
    }
    std::sort(peers.begin(), peers.end(), [](const EntryInstance& a, const EntryInstance& b) { return a.id < b.id; });
    return peers;
}

void PeerTable::removeExpired(TimePoint now)
{
    std::erase_if(m_peers, [&](const auto& it) { return now >= it.second.instance.lastHeartbeatAt + m_limits.retention; });
}

} // namespace plantainhold
