// Fetches the platform's instance list over gRPC.
#pragma once

#include "plantainhold/ports/Clock.h"
#include "plantainhold/ports/InstanceListPort.h"

#include <memory>
#include <string>

namespace plantainhold {

class GrpcInstanceList final : public InstanceListPort {
public:
    // Precondition: address is IP:port.
    GrpcInstanceList(const std::string& address, Milliseconds timeout);
    ~GrpcInstanceList() override;

    std::optional<InstanceList> list(std::uint64_t knownVersion) override;

private:
    struct Stub;
    const std::unique_ptr<Stub> m_stub;
    const Milliseconds m_timeout;
};

} // namespace plantainhold
