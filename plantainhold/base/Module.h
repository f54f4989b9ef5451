// One part of the daemon, with a life of its own: it starts, drains, stops, and
// may answer gRPC calls.
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

    // gRPC services to register on the control address. Called once, before start().
    virtual std::vector<grpc::Service*> services() { return {}; }

    // Starts the threads. May throw ResultError. Called once.
    virtual void start() = 0;

    // Begins a planned stop: takes nothing new once callers have noticed, and
    // hands over what can be handed over. Must not block.
    virtual void beginDrain() { }

    // Whether nothing is in flight any more. Thread-safe.
    virtual bool isDrained() const { return true; }

    // The planned stop has reached its limit: tells whoever still waits what is
    // certain. May block for a fraction of a second. Called once, after beginDrain().
    virtual void abortInFlight() { }

    // Ends all threads. Called once, after start().
    virtual void stop() = 0;

    // Whether the module can do its work; /readyz is their conjunction. Thread-safe.
    virtual bool isReady() const { return true; }

    struct StatusLine {
        std::string name;
        std::string value;
    };
    // What `plantainhold status` shows. Thread-safe.
    virtual std::vector<StatusLine> status() const { return {}; }
};

} // namespace plantainhold
