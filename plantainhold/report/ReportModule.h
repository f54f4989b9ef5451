// Serves the operators' reports over gRPC: burn rates and the reasons of decisions from
// all reachable instances, and the status of this instance.
#pragma once

#include "plantainhold/base/Module.h"

#include <memory>
#include <span>

namespace plantainhold {

class BurnCounters;
struct InstanceContext;

class ReportModule final : public Module {
public:
    // Precondition: `context`, `burn` and `modules` outlive this object.
    ReportModule(InstanceContext& context, BurnCounters& burn, std::span<const std::unique_ptr<Module>> modules);
    ~ReportModule() override;

    std::vector<grpc::Service*> services() override;
    void start() override;
    void stop() override;

private:
    class ArchiveWriter;
    class Calls;
    std::unique_ptr<ArchiveWriter> m_archiveWriter;
    std::unique_ptr<Calls> m_calls;
};

} // namespace plantainhold
