// Callers' requests: accepts them, routes each to an executor, returns the answer.
#pragma once

#include "plantainhold/base/Module.h"

#include <memory>

namespace plantainhold {

class BurnCounters;
struct InstanceContext;

class RequestModule final : public Module {
public:
    RequestModule(InstanceContext& context, BurnCounters& burn);
    ~RequestModule() override;

    void start() override;
    void beginDrain() override;
    bool isDrained() const override;
    void stop() override;
    std::vector<StatusLine> status() const override;

private:
    class Server;
    std::unique_ptr<Server> m_server;
};

} // namespace plantainhold
