// The composition root: constructs the adapters and modules of one instance, runs
// them until a stop is requested, and drains.
#pragma once

#include "plantainhold/base/StrategySet.h"
#include "plantainhold/config/Settings.h"

#include <memory>

namespace plantainhold {

class Daemon {
public:
    // Precondition: the settings were read without errors.
    Daemon(Settings settings, StrategySet strategies);
    ~Daemon();

    // Opens the sockets and starts the modules. Throws ResultError.
    void start();

    // Begins a planned stop and returns immediately. Thread-safe.
    void beginDrain();

    // Blocks until the planned stop has completed: all work in flight has ended,
    // the drain limit has passed, or forceStop() was called.
    void waitUntilDrained();

    // Stops waiting for work in flight. Thread-safe.
    void forceStop();

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace plantainhold
