// Converts peer states, digests and deltas to and from protobuf messages.
#pragma once

#include "plantainhold/membership/PeerTable.h"

namespace plantainhold {

namespace membership {
    class ExchangeReply;
    class ExchangeRequest;
    class InstanceState;
} // namespace membership

// All are thread-safe.
void fillMessage(membership::InstanceState& message, const PeerState& state);
PeerState stateFromMessage(const membership::InstanceState& message);
void fillMessage(membership::ExchangeRequest& message, const PeerState& self, const std::vector<PeerDigest>& known);
std::vector<PeerDigest> digestsFromMessage(const membership::ExchangeRequest& message);
void fillMessage(membership::ExchangeReply& message, const PeerState& self, const PeerDelta& delta);
PeerDelta deltaFromMessage(const membership::ExchangeReply& message);

} // namespace plantainhold
