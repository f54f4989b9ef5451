// The daemon's module for at-most-once claims.
#pragma once

#include "plantainhold/base/Module.h"

#include <memory>

namespace plantainhold {

class ClaimPort;
class ClaimStore;
struct InstanceContext;

class ClaimModule final : public Module {
public:
    explicit ClaimModule(InstanceContext& context);
    ~ClaimModule() override;

    // Returns the port, which lives as long as the module. Thread-safe.
    ClaimPort& port();

    void start() override { }
    bool isDrained() const override;
    void stop() override { }
    std::vector<StatusLine> status() const override;

private:
    const std::unique_ptr<ClaimStore> m_store;
};

} // namespace plantainhold
