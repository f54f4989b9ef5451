// Runs a stand-in's gRPC services until the process is told to stop.
#pragma once

#include <span>
#include <string>

namespace grpc {
class Service;
}

namespace plantainhold::standin {

// Blocks until SIGTERM or SIGINT. Returns the exit status.
int serveUntilStopped(const std::string& address, std::span<grpc::Service* const> services);

} // namespace plantainhold::standin
