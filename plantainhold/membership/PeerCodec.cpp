// Conversion between peer states and protobuf messages.

#include "plantainhold/membership/PeerCodec.h"

#include "plantainhold/proto/membership.pb.h"

namespace plantainhold {

namespace {

    void fill(membership::Digest& message, const PeerDigest& digest)
    {
        message.set_id_hash(digest.idHash);
        message.set_incarnation_hash(digest.incarnationHash);
        message.set_heartbeat(digest.heartbeat);
        message.set_revision(digest.revision);
    }

    PeerDigest fromMessage(const membership::Digest& message)
    {
        return { message.id_hash(), message.incarnation_hash(), message.heartbeat(), message.revision() };
    }

} // namespace

void fillMessage(membership::InstanceState& message, const PeerState& state)
{
    message.set_id(state.instance.id);
    message.set_incarnation(state.instance.incarnation);
    message.set_heartbeat(state.heartbeat);
    message.set_data_centre(state.instance.dataCentre);
    message.set_control_address(state.instance.controlAddress);
    message.set_config_version(state.instance.configVersion);
    message.set_draining(state.instance.isDraining);
    message.set_revision(state.revision);
}

PeerState stateFromMessage(const membership::InstanceState& message)
{
    PeerState state;
    state.instance.id = message.id();
    state.instance.incarnation = message.incarnation();
    state.instance.dataCentre = message.data_centre();
    state.instance.controlAddress = message.control_address();
    state.instance.configVersion = message.config_version();
    state.instance.isDraining = message.draining();
    state.heartbeat = message.heartbeat();
    state.revision = message.revision();
    return state;
}

void fillMessage(membership::ExchangeRequest& message, const PeerState& self, const std::vector<PeerDigest>& known)
{
    fillMessage(*message.mutable_sender(), self);
    for (const PeerDigest& it : known)
        fill(*message.add_known(), it);
}

std::vector<PeerDigest> digestsFromMessage(const membership::ExchangeRequest& message)
{
    std::vector<PeerDigest> digests;
    for (const membership::Digest& it : message.known())
        digests.push_back(fromMessage(it));
    return digests;
}

void fillMessage(membership::ExchangeReply& message, const PeerState& self, const PeerDelta& delta)
{
    fillMessage(*message.mutable_sender(), self);
    for (const PeerState& it : delta.newer)
        fillMessage(*message.add_newer(), it);
    for (const PeerDigest& it : delta.later)
        fill(*message.add_later(), it);
}

PeerDelta deltaFromMessage(const membership::ExchangeReply& message)
{
    PeerDelta delta;
    for (const membership::InstanceState& it : message.newer())
        delta.newer.push_back(stateFromMessage(it));
    for (const membership::Digest& it : message.later())
        delta.later.push_back(fromMessage(it));
    return delta;
}

} // namespace plantainhold
