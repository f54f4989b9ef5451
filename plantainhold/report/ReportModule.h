// Answers what operators ask about the past, over all instances that can be
// reached: burn, reasons, status.
#pragma once

#include "plantainhold/base/Module.h"

#include <memory>
#include <span>

namespace plantainhold {

class BurnCounters;
struct InstanceContext;

class ReportModule final : public Module {
public:
    // Precondition: the modules outlive this one.
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
