// Stand-in of the platform's workers, many in one process. Each keeps its own
// leases by its own clock, runs attempts for the time that their command names,
// and journals what truly ran and when.
#pragma once

#include "plantainhold/proto/platform.grpc.pb.h"

#include <atomic>
#include <chrono>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <utility>

namespace plantainhold::standin {

class Journal;
class SwitchBoard;

class WorkerService final : public platform::Workers::Service {
public:
    explicit WorkerService(Journal& journal);
    ~WorkerService() override;

    // Precondition: called before the server starts.
    void addWorker(const std::string& id, const platform::Resources& capacity, const std::string& rack);

    // Switches: fails_everything ID|-ID, shrink ID MILLICORES, restart ID, fencing on|off.
    void addSwitches(SwitchBoard& board);

    grpc::Status Describe(grpc::ServerContext*, const platform::DescribeRequest* request, platform::DescribeReply* reply) override;
    grpc::Status Start(grpc::ServerContext*, const platform::StartRequest* request, platform::CommandReply* reply) override;
    grpc::Status Renew(grpc::ServerContext*, const platform::RenewRequest* request, platform::RenewReply* reply) override;
    grpc::Status Throttle(grpc::ServerContext*, const platform::ThrottleRequest* request, platform::CommandReply* reply) override;
    grpc::Status Checkpoint(grpc::ServerContext*, const platform::CheckpointRequest* request, platform::CommandReply* reply) override;
    grpc::Status Stop(grpc::ServerContext*, const platform::StopRequest* request, platform::CommandReply* reply) override;

private:
    using Clock = std::chrono::steady_clock;
    using AttemptKey = std::pair<std::string, std::uint32_t>;
    struct Attempt {
        platform::AttemptState state = platform::ATTEMPT_RUNNING;
        platform::Resources reserved;
        Clock::time_point leaseEnd;
        Clock::time_point lastStep;
        // Work in milliseconds at full speed; 0 never ends.
        double workMs = 0;
        double doneMs = 0;
        std::uint32_t checkpoint = 0;
        std::uint32_t throttlePercent = 100;
        bool fails = false;
        std::string failure;
    };
    struct Worker {
        platform::Resources capacity;
        std::string rack;
        std::string incarnation;
        std::uint64_t fencingToken = 0;
        bool failsEverything = false;
        std::map<AttemptKey, Attempt> attempts;
    };

    void run();
    void step(const std::string& id, Worker& worker, Clock::time_point now);
    void finish(const std::string& worker, const AttemptKey& key, Attempt& attempt, platform::AttemptState state, const std::string& failure);
    bool isFenced(Worker& worker, std::uint64_t token) const;
    void fillReport(platform::AttemptReport& report, const AttemptKey& key, const Attempt* attempt) const;
    static AttemptKey keyOf(const platform::AttemptId& id);
    // Null if there is no such worker.
    Worker* find(const std::string& id);
    // The running attempt that a command is for; null, with the refusal set, when there is none.
    Attempt* runningAttempt(const std::string& id, Worker& worker, const platform::AttemptId& wanted, std::uint64_t token, platform::CommandReply& reply);
    void confirm(platform::CommandReply& reply, const AttemptKey& key, const Attempt& attempt) const;

    Journal& m_journal;
    std::mutex m_mutex;
    std::map<std::string, Worker> m_workers;
    bool m_comparesTokens = true;
    std::atomic<bool> m_isStopping { false };
    std::thread m_thread;
};

} // namespace plantainhold::standin
