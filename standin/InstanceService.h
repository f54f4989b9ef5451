// Stand-in of the platform's list of instances. What is set shows only after the lag.
#pragma once

#include "plantainhold/proto/platform.grpc.pb.h"

#include <atomic>
#include <chrono>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace plantainhold::standin {

class SwitchBoard;

class InstanceService final : public platform::Instances::Service {
public:
    explicit InstanceService(std::chrono::milliseconds lag);

    // "id kind address data_centre rack service slots", with "-" for none;
    // kind is entry, executor or worker. Throws std::runtime_error on a bad line.
    void addLine(const std::string& line);

    // Switches: add LINE, remove ID, leaving ID, lag MS, outage on|off.
    void addSwitches(SwitchBoard& board);

    grpc::Status List(grpc::ServerContext*, const platform::ListRequest* request, platform::ListReply* reply) override;

private:
    using Clock = std::chrono::steady_clock;
    using Instances = std::map<std::string, platform::Instance>;
    struct Version {
        Clock::time_point visibleAt;
        Instances instances;
    };

    void change(const std::function<void(Instances&)>& edit);

    std::mutex m_mutex;
    std::atomic<std::int64_t> m_lagMs;
    std::atomic<bool> m_isOut { false };
    // Every version since the start; the newest visible one is answered.
    std::vector<Version> m_versions;
};

} // namespace plantainhold::standin
