// Channels to the platform and to peers, with reconnects fast enough for leases.
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
