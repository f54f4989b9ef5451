// Opens gRPC channels to the platform and to peers, which reconnect fast enough for
// leases of a few seconds.
#pragma once

#include <memory>
#include <string>

namespace grpc {
class Channel;
class ClientContext;
} // namespace grpc

namespace plantainhold {

// Precondition: address is IP:port. Does not block. Thread-safe.
std::shared_ptr<grpc::Channel> openChannel(const std::string& address);

} // namespace plantainhold
