// The platform's log service over gRPC.
#pragma once

#include "plantainhold/ports/LogPort.h"

#include <memory>

namespace plantainhold {

class GrpcLog final : public LogPort {
public:
    // Precondition: address is IP:port.
    GrpcLog(const std::string& address, Milliseconds readTimeout);
    ~GrpcLog() override;

    AppendOutcome append(std::string_view stream, std::string_view payload, Milliseconds timeout) override;
    ReadOutcome read(std::string_view stream, std::uint64_t from, const ReadLimits& limits) override;

private:
    struct Stub;
    const std::unique_ptr<Stub> m_stub;
    const Milliseconds m_readTimeout;
};

} // namespace plantainhold
