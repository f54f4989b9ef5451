// Accepts callers' requests, routes each to an executor, and returns the response.
#pragma once

#include "plantainhold/base/Module.h"

#include <memory>

namespace plantainhold {

class BurnCounters;
class ClaimPort;
struct InstanceContext;

class HttpRequestModule final : public Module {
public:
    // Precondition: all arguments outlive the module.
    HttpRequestModule(InstanceContext& context, BurnCounters& burn, ClaimPort& claims);
    ~HttpRequestModule() override;

    void start() override;
    void beginDrain() override;
    bool isDrained() const override;
    void abortInFlight() override;
    void stop() override;
    bool isReady() const override;
    std::vector<StatusLine> status() const override;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace plantainhold
