// What the modules of one daemon share. The owner outlives all modules.
#pragma once

#include <atomic>
#include <string>

namespace prometheus {
class Registry;
}

namespace plantainhold {

class Clock;
class DecisionLog;
class InstanceListPort;
class LogPort;
class StrategySet;
class WorkerPort;
struct ConfigSnapshot;
struct InstanceView;
struct Settings;
template <typename T>
class RcuCell;

struct InstanceContext {
    const Settings& settings;
    const StrategySet& strategies;
    const Clock& clock;
    LogPort& log;
    InstanceListPort& instanceList;
    WorkerPort& workers;
    // The configuration in force; written by the configuration module alone.
    RcuCell<ConfigSnapshot>& config;
    // Live and leaving instances; written by the membership module alone.
    RcuCell<InstanceView>& instances;
    DecisionLog& decisions;
    prometheus::Registry& metrics;
    // Unique a process start.
    const std::string incarnation;
    std::atomic<bool> isDraining { false };
};

} // namespace plantainhold
