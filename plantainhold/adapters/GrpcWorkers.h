// Sends commands to workers over gRPC. There is one channel per address, opened on
// first use.
#pragma once

#include "plantainhold/ports/WorkerPort.h"

#include <memory>

namespace plantainhold {

class GrpcWorkers final : public WorkerPort {
public:
    explicit GrpcWorkers(Milliseconds timeout);
    ~GrpcWorkers() override;

    std::optional<WorkerDescription> describe(const WorkerAddress& worker, std::uint64_t fencingToken) override;
    CommandOutcome start(const WorkerAddress& worker, std::uint64_t fencingToken, const StartCommand& command) override;
    RenewOutcome renew(const WorkerAddress& worker, std::uint64_t fencingToken, std::span<const AttemptId> ids, Milliseconds lease) override;
    CommandOutcome throttle(const WorkerAddress& worker, std::uint64_t fencingToken, const AttemptId& id, std::uint32_t percent) override;
    CommandOutcome checkpoint(const WorkerAddress& worker, std::uint64_t fencingToken, const AttemptId& id) override;
    CommandOutcome stop(const WorkerAddress& worker, std::uint64_t fencingToken, const AttemptId& id) override;

private:
    struct Channels;
    const std::unique_ptr<Channels> m_channels;
    const Milliseconds m_timeout;
};

} // namespace plantainhold
