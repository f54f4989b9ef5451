// The processes of the requests bench: entry instances, executors, log and list.
#pragma once

#include "bench/LoadGenerator.h"
#include "standin/proving/Fleet.h"

#include <filesystem>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace plantainhold::bench {

class LoadFleet {
public:
    // Starts everything, publishes the configuration and waits until the entry
    // instances are ready. naive: strategies that the daemons lack. Throws
    // std::runtime_error when that fails.
    LoadFleet(const std::filesystem::path& bin, const std::string& naive);
    ~LoadFleet();

    std::vector<std::string> entryAddresses() const;
    std::vector<std::string> executorAddresses() const;
    // Kills, silences or slows the first executor; normal() undoes the last two.
    void behave(const std::string& mode);
    void killExecutor();

    // Processor time of all entry instances so far.
    double entrySeconds();

    struct Truth {
        // Keys that ran more than once.
        std::uint64_t doubled = 0;
        // Ids that ran at least once.
        std::set<std::string> ran;
        std::uint64_t runs = 0;
        std::uint64_t slotsExceeded = 0;
    };
    // Read from the executors' journals.
    Truth truth() const;

    static constexpr int s_entries = 2;
    static constexpr int s_executors = 4;
    static constexpr int s_slots = 8;

private:
    void publish(const std::filesystem::path& bin);
    void awaitReady();

    std::filesystem::path m_folder;
    std::unique_ptr<standin::Fleet> m_fleet;
};

} // namespace plantainhold::bench
