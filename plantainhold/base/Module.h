// Interface of a component of the daemon with its own lifecycle: it is started,
// drained and stopped, and may serve gRPC calls.
#pragma once

#include <string>
#include <utility>
#include <vector>

namespace grpc {
class Service;
}

namespace plantainhold {

class Module {
public:
    virtual ~Module() = default;

    // Returns the gRPC services to register on the control address. Called once, before start().
    virtual std::vector<grpc::Service*> services() { return {}; }

    // Starts the threads. Called once. Throws ResultError if the module cannot start.
    virtual void start() = 0;

    // Begins a planned stop: the module rejects new work once callers have had time to
    // notice, and hands over the work that can be handed over. Must not block.
    virtual void beginDrain() { }

    // Returns true once nothing is in flight any more. Thread-safe.
    virtual bool isDrained() const { return true; }

    // Called when the planned stop has reached its time limit: answers all callers that
    // still wait with what is certain about their requests. May block for a fraction of
    // a second. Called once, after beginDrain().
    virtual void abortInFlight() { }

    // Stops and joins all threads. Called once, after start().
    virtual void stop() = 0;

    // Returns whether the module can do its work; /readyz succeeds if all modules are
    // ready. Thread-safe.
    virtual bool isReady() const { return true; }

    struct StatusLine {
        std::string name;
        std::string value;
    };
    // Returns the lines that `plantainhold status` shows. Thread-safe.
    virtual std::vector<StatusLine> status() const { return {}; }
};

} // namespace plantainhold
