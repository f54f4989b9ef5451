// CrowdRig runs one entry instance as a process of its own, with low limits in its settings, against the soak's
// stand-ins of the store and the executors, and measures what it takes.
#pragma once

#include "standin/FaultProxy.h"
#include "standin/proving/ProcessTable.h"
#include "standin/proving/Subnet.h"
#include "standin/soak/ExecutorFleet.h"
#include "standin/soak/RunLedger.h"
#include "standin/soak/SoakLog.h"
#include "standin/soak/SoakRandom.h"
#include "standin/soak/StoreService.h"

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <filesystem>
#include <string>
#include <thread>

namespace plantainhold::crowd {

// The memory and descriptors that the settings give the process.
inline constexpr std::size_t s_memoryMb = 32;
inline constexpr std::size_t s_maxDescriptors = 256;

// Where a crowd comes.
struct Door {
    std::string_view name;
    int port;
    std::string_view host;
    std::string_view path;
};

class CrowdRig {
public:
    // Starts everything and waits until the instance says that it is ready, or for a minute. Not thread-safe.
    CrowdRig();
    ~CrowdRig();

    std::string address(const Door& door) const { return m_subnet.ip(s_instanceHost) + ":" + std::to_string(door.port); }
    bool isRunning() { return m_processes.isRunning(s_instance); }
    // The largest resident set since the last call of resetPeak().
    double peakMb() { return statusMb("VmHWM:"); }
    double residentMb() { return statusMb("VmRSS:"); }
    void resetPeak();
    std::size_t descriptors();
    // Returns whether the instance said that it is ready.
    bool isReady() const;
    // Hands in a job as a client does that comes again after a refusal; returns whether it was accepted and completed.
    bool finishesJob();

private:
    static constexpr int s_instanceHost = 10;
    static constexpr const char* s_instance = "instance";

    double statusMb(std::string_view key);
    std::filesystem::path procFile(const char* name);
    std::string writeSettings();

    std::filesystem::path m_folder;
    boost::asio::io_context m_context { 1 };
    standin::Subnet m_subnet;
    soak::SoakLog m_log;
    soak::SoakRandom m_random;
    standin::FaultProxy m_proxy;
    soak::StoreState m_storeState;
    soak::StoreService m_store;
    soak::RunLedger m_ledger;
    soak::ExecutorFleet m_executors;
    standin::ProcessTable m_processes;
    std::thread m_thread;
    std::uint64_t m_jobs = 0;
};

} // namespace plantainhold::crowd
