// PlannerPlacement adapts the interference-aware planner to one shard: it feeds
// the planner with the state that the shard's owner sees and converts the
// planner's decisions. Each period of ownership starts with a new planner, which
// is given the running and the waiting tasks.
#pragma once

#include "plantainhold/scheduling/PlacementPolicy.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace plantainhold {

class Planner;
struct ConfigSnapshot;
struct TaskRequest;
template <typename T>
class RcuCell;

class PlannerPlacement final : public PlacementPolicy {
public:
    // The planner reads teams and profiles from the active configuration and uses
    // 1/shards of each team's quota. Precondition: the cell outlives the policy.
    PlannerPlacement(const RcuCell<ConfigSnapshot>& config, std::int64_t shards);
    ~PlannerPlacement() override;

    void ownershipStarted() override;
    void taskWaiting(const TaskEntry& entry, TimePoint now) override;
    void taskRemoved(const std::string& task) override;
    void attemptAssigned(const TaskEntry& entry, TimePoint now) override;
    void placementFailed(const std::string& task, TimePoint now) override;
    void attemptEnded(const AttemptReport& last, TimePoint now) override;
    void reportReceived(const AttemptReport& report, TimePoint now) override;
    PlacementPlan plan(const ShardView& view, TimePoint now) override;

private:
    // The state of a worker that was last reported to the planner.
    struct KnownWorker {
        Resources capacity;
        bool isLeaving = false;
        bool isUsable = false;

        bool operator==(const KnownWorker&) const = default;
    };

    TaskRequest requestFor(const TaskEntry& entry) const;
    void preemptForUrgent(const ShardView& view, PlacementPlan& plan);
    void updateTeams();
    void updateWorkers(const ShardView& view, TimePoint now);

    const RcuCell<ConfigSnapshot>& m_config;
    const std::int64_t m_shards;
    std::unique_ptr<Planner> m_planner;
    std::map<std::string, KnownWorker> m_workers;
    // Tasks that the planner found impossible, with the reason, until the log records it.
    std::map<std::string, std::string> m_impossible;
    std::uint64_t m_configVersion = 0;
    TimePoint m_lastPlan;
    bool m_hasChanged = true;
};

} // namespace plantainhold
