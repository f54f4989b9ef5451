// Digests and deltas between instances.

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

    void compare(const PeerState& state, const std::vector<PeerDigest>& known, PeerAnswer& answer)
    {
        PeerDigest mine = digestOf(state);
        const PeerDigest* theirs = findDigest(known, mine.idHash);
        if (!theirs || theirs->incarnationHash != mine.incarnationHash || theirs->revision < mine.revision)
            answer.newer.push_back(state);
        else if (theirs->heartbeat < mine.heartbeat)
            answer.later.push_back(mine);
    }

} // namespace

PeerTable::PeerTable(const EntryInstance& self, const Limits& limits)
    : m_limits(limits)
    , m_self { self }
{
}

void PeerTable::beat(std::uint64_t configVersion, bool isDraining, TimePoint now)
{
    EntryInstance& instance = m_self.instance;
    bool isChanged = instance.configVersion != configVersion || instance.isDraining != isDraining;
    instance.configVersion = configVersion;
    instance.isDraining = isDraining;
    instance.lastHeard = now;
    m_self.revision += isChanged ? 1 : 0;
    ++m_self.heartbeat;
}

std::vector<PeerDigest> PeerTable::digests(TimePoint now) const
{
    std::vector<PeerDigest> digests { digestOf(m_self) };
    for (const auto& [hash, state] : m_peers) {
        if (now < state.instance.lastHeard + m_limits.memory)
            digests.push_back(digestOf(state));
    }
    return digests;
}

PeerAnswer PeerTable::answerTo(const std::vector<PeerDigest>& known, TimePoint now) const
{
    PeerAnswer answer;
    for (const auto& [hash, state] : m_peers) {
        // Old hearsay passed on as news would keep a dead instance alive for ever.
        if (now < state.instance.lastHeard + m_limits.silence)
            compare(state, known, answer);
    }
    return answer;
}

void PeerTable::hearDirectly(const PeerState& sender, TimePoint now)
{
    take(sender, true, now);
}

void PeerTable::hear(const PeerAnswer& answer, TimePoint now)
{
    for (const PeerState& it : answer.newer)
        take(it, false, now);
    for (const PeerDigest& it : answer.later) {
        auto found = m_peers.find(it.idHash);
        bool isAdvance = found != m_peers.end() && digestOf(found->second).incarnationHash == it.incarnationHash && it.heartbeat > found->second.heartbeat;
        if (!isAdvance)
            continue;
        found->second.heartbeat = it.heartbeat;
        found->second.instance.lastHeard = now;
    }
}

void PeerTable::take(const PeerState& state, bool isDirect, TimePoint now)
{
    if (state.instance.id == m_self.instance.id)
        return;
    auto [it, isNew] = m_peers.try_emplace(hash64(state.instance.id), state);
    PeerState& known = it->second;
    bool isOtherIncarnation = known.instance.incarnation != state.instance.incarnation;
    bool isSilent = now >= known.instance.lastHeard + m_limits.silence;
    bool isAccepted = isNew || (isOtherIncarnation ? isDirect || isSilent : state.heartbeat > known.heartbeat || state.revision > known.revision);
    if (!isAccepted)
        return;
    known = state;
    known.instance.lastHeard = now;
}

std::vector<EntryInstance> PeerTable::peers(TimePoint now) const
{
    std::vector<EntryInstance> peers;
    for (const auto& [hash, state] : m_peers) {
        if (now < state.instance.lastHeard + m_limits.memory)
            peers.push_back(state.instance);
    }
    std::sort(peers.begin(), peers.end(), [](const EntryInstance& a, const EntryInstance& b) { return a.id < b.id; });
    return peers;
}

void PeerTable::dropSilent(TimePoint now)
{
    std::erase_if(m_peers, [&](const auto& it) { return now >= it.second.instance.lastHeard + m_limits.memory; });
}

} // namespace plantainhold
