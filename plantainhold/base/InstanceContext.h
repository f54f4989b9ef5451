// The dependencies that all modules of one daemon share. The object that owns them
// must outlive all modules.
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
    // The active configuration; written only by the configuration module.
    RcuCell<ConfigSnapshot>& config;
    // Live and leaving instances; written only by the membership module.
    RcuCell<InstanceView>& instances;
    DecisionLog& decisions;
    prometheus::Registry& metrics;
    // Unique for each start of the process.
    const std::string incarnation;
    std::atomic<bool> isDraining { false };
};

} // namespace plantainhold
