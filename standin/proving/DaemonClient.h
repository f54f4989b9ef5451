// What a run asks of daemons and stand-ins over gRPC, as the command-line tool does.
#pragma once

#include "standin/proving/Evidence.h"

#include <chrono>
#include <filesystem>
#include <memory>
#include <string>
#include <vector>

namespace plantainhold::standin {

struct PublishOutcome {
    // A numbered result, such as PH4000; empty when the daemon did not answer.
    std::string result;
    std::uint64_t version = 0;
};

struct SubmitSpec {
    std::string id;
    std::string team;
    std::string profile;
    std::string command;
    std::int64_t millicores = 1000;
    std::int64_t memoryMib = 256;
    std::int64_t accelerators = 0;
    std::uint32_t expectedMs = 1000;
    bool urgent = false;
    bool isService = false;
};

struct StatusOutcome {
    bool reached = false;
    bool ready = false;
    std::uint64_t version = 0;
};

// Thread-safe. Every call blocks up to its time limit and never throws, except
// where it says so.
class DaemonClient {
public:
    explicit DaemonClient(const std::string& controlAddress);
    ~DaemonClient();

    // Throws ScenarioError when the document cannot be read or is not valid.
    PublishOutcome publish(const std::filesystem::path& document, const std::string& id, std::uint64_t baseVersion, std::chrono::milliseconds limit);

    // A numbered result; empty when the daemon did not answer.
    std::string submit(const SubmitSpec& spec, std::chrono::milliseconds limit);
    std::string cancel(const std::vector<std::string>& tasks, std::chrono::milliseconds limit);
    // The task's phase; empty when it is not known here.
    std::string phaseOf(const std::string& task, std::chrono::milliseconds limit);
    StatusOutcome status(std::chrono::milliseconds limit);
    // The last hour's counts of all instances; empty when the daemon did not answer.
    std::vector<BurnSample> burn(std::chrono::milliseconds limit);

private:
    struct Stubs;
    std::unique_ptr<Stubs> m_stubs;
};

// Sets a switch of a stand-in. False when it cannot be reached or knows no such
// switch. Waits up to the limit. Thread-safe.
bool setSwitch(const std::string& address, const std::string& name, const std::string& value, std::chrono::milliseconds limit);

} // namespace plantainhold::standin
