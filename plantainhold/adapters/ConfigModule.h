// Reads the "config" log stream, activates each new version, and serves the
// operators' configuration calls.
#pragma once

#include "plantainhold/base/Module.h"

#include <memory>

namespace plantainhold {

class ConfigFollower;
struct InstanceContext;

class ConfigModule final : public Module {
public:
    explicit ConfigModule(InstanceContext& context);
    ~ConfigModule() override;

    std::vector<grpc::Service*> services() override;
    void start() override;
    void stop() override;
    bool isReady() const override;
    std::vector<StatusLine> status() const override;

private:
    class Calls;
    std::unique_ptr<ConfigFollower> m_follower;
    std::unique_ptr<Calls> m_calls;
};

} // namespace plantainhold
