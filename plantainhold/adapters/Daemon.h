// The composition root: builds the adapters and modules of one instance, runs
// them until told to stop, and drains.
#pragma once

#include "plantainhold/base/StrategySet.h"
#include "plantainhold/config/Settings.h"

#include <memory>

namespace plantainhold {

class Daemon {
public:
    // Precondition: the settings were read without faults.
    Daemon(Settings settings, StrategySet strategies);
    ~Daemon();

    // Opens the sockets and starts the modules. Throws ResultError.
    void start();

    // Begins a planned stop; returns at once. Thread-safe.
    void beginDrain();

    // Blocks until the planned stop is over: everything in flight has ended, or
    // the drain limit has passed, or forceStop() was called.
    void waitUntilDrained();

    // Ends the wait for what is in flight. Thread-safe.
    void forceStop();

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace plantainhold
