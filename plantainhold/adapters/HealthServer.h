// Serves /metrics, /healthz and /readyz to the platform's probes.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace prometheus {
class Collectable;
}

namespace plantainhold {

class HealthServer {
public:
    // Binds the address and starts serving. Throws ResultError(CannotListen).
    HealthServer(const std::string& address, std::vector<std::shared_ptr<prometheus::Collectable>> metrics, std::function<bool()> isReady);
    ~HealthServer();

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace plantainhold
