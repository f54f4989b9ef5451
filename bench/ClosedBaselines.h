// The simple policies that the planner is compared with: services alone, first
// fit, and first fit that evicts at once whenever a sample is over its limit.
#pragma once

#include "bench/ClosedPolicy.h"

#include <deque>
#include <map>
#include <string>
#include <vector>

namespace plantainhold::bench {

class ClosedBaseline final : public ClosedPolicy {
public:
    struct Traits {
        // Batch never shares a worker with a service.
        bool isIsolated = false;
        // Evicts the largest batch neighbour of a service that a sample shows over its limit.
        bool evictsAtOnce = false;
    };

    explicit ClosedBaseline(const Traits& traits);

    void workerUpdated(const WorkerObservation& worker, TimePoint now) override;
    void taskWaiting(const TaskRequest& request, TimePoint now) override;
    void attemptStarted(const AttemptId& id, const TaskRequest& request, const std::string& worker, const Resources& reserved, TimePoint now) override;
    void attemptEnded(const AttemptReport& last, TimePoint now) override;
    void sample(const AttemptReport& report, TimePoint now) override;
    Plan plan(TimePoint now) override;

private:
    struct Running {
        TaskRequest request;
        std::uint32_t attempt = 0;
        std::size_t worker = 0;
        Resources reserved;
        bool isEvicted = false;
    };
    struct Worker {
        std::string name;
        Resources capacity;
        Resources reserved;
        int services = 0;
    };

    bool place(const TaskRequest& request, Plan& plan);
    void evictLargest(std::size_t worker, Plan& plan);

    const Traits m_traits;
    std::vector<Worker> m_workers;
    std::map<std::string, std::size_t> m_indexes;
    std::map<std::string, Running> m_running;
    std::deque<TaskRequest> m_waiting;
    std::vector<std::size_t> m_overLimit;
};

} // namespace plantainhold::bench
