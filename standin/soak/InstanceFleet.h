// InstanceFleet runs the entry instances of a soak as child processes, each on a loopback
// address of its own, with a link of its own to the store.
#pragma once

#include "plantainhold/ports/Clock.h"
#include "standin/proving/ProcessTable.h"

#include <filesystem>
#include <string>
#include <vector>

namespace plantainhold::standin {
class FaultProxy;
class Subnet;
} // namespace plantainhold::standin

namespace plantainhold::soak {

struct SoakOptions;

class InstanceFleet {
public:
    // Writes the settings files; starts nothing. Not thread-safe.
    InstanceFleet(const SoakOptions& options, const standin::Subnet& subnet, standin::FaultProxy& proxy, const std::string& storeAddress);

    std::size_t size() const { return m_callerAddresses.size(); }
    const std::vector<std::string>& callerAddresses() const { return m_callerAddresses; }
    // The name of the proxy's link from an instance to the store.
    static std::string storeLinkName(std::size_t instance) { return "store-" + std::to_string(instance) + "-"; }
    // Returns size() if the name is not one of an instance, which may be followed by "@address".
    std::size_t indexOf(std::string_view member) const;

    // Precondition: the instance does not run. Throws std::runtime_error if the program cannot be started.
    void start(std::size_t instance);
    void signal(std::size_t instance, int signal) { m_processes.signal(nameOf(instance), signal); }
    bool isRunning(std::size_t instance) { return m_processes.isRunning(nameOf(instance)); }
    std::vector<std::string> unexpectedEnds() { return m_processes.unexpectedEnds(); }

private:
    static std::string nameOf(std::size_t instance) { return "instance-" + std::to_string(instance); }
    std::filesystem::path settingsOf(std::size_t instance) const { return m_folder / (nameOf(instance) + ".toml"); }

    std::filesystem::path m_program;
    std::filesystem::path m_folder;
    std::vector<std::string> m_callerAddresses;
    standin::ProcessTable m_processes;
};

} // namespace plantainhold::soak
