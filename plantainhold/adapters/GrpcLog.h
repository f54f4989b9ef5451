// Accesses the platform's log service over gRPC.
#pragma once

#include "plantainhold/ports/LogPort.h"

#include <atomic>
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
    // Logs the start and the end of an outage rather than each failure.
    void trackOutage(std::string_view stream, bool succeeded);

    struct Stub;
    const std::unique_ptr<Stub> m_stub;
    const Milliseconds m_readTimeout;
    // Start of the current outage in ticks of the monotonic clock; 0 while the log responds.
    std::atomic<TimePoint::rep> m_failingSince { 0 };
};

} // namespace plantainhold
