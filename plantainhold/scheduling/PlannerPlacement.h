// Lets the interference policy's planner decide on a shard: feeds it what the
// shard's owner sees and hands its decisions on. Every ownership begins with a
// new planner that learns of what runs and waits.
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
    // The planner reads teams and profiles from the configuration in force, and
    // takes one part in `shards` of each team's quota. Precondition: the cell
    // outlives the policy.
    PlannerPlacement(const RcuCell<ConfigSnapshot>& config, std::int64_t shards);
    ~PlannerPlacement() override;

    void ownershipBegan() override;
    void taskWaiting(const TaskEntry& entry, TimePoint now) override;
    void taskRemoved(const std::string& task) override;
    void attemptAssigned(const TaskEntry& entry, TimePoint now) override;
    void placementFailed(const std::string& task, TimePoint now) override;
    void attemptEnded(const AttemptReport& last, TimePoint now) override;
    void sampled(const AttemptReport& report, TimePoint now) override;
    PlacementPlan plan(const ShardView& view, TimePoint now) override;

private:
    // What the planner was last told about a worker.
    struct KnownWorker {
        Resources capacity;
        bool isLeaving = false;
        bool isOpen = false;

        bool operator==(const KnownWorker&) const = default;
    };

    TaskRequest requestFor(const TaskEntry& entry) const;
    void clearForUrgent(const ShardView& view, PlacementPlan& plan);
    void tellTeams();
    void tellWorkers(const ShardView& view, TimePoint now);

    const RcuCell<ConfigSnapshot>& m_config;
    const std::int64_t m_shards;
    std::unique_ptr<Planner> m_planner;
    std::map<std::string, KnownWorker> m_workers;
    // Tasks that the planner has given up, until the log says so.
    std::map<std::string, std::string> m_impossible;
    std::uint64_t m_configVersion = 0;
    TimePoint m_lastPlan;
    bool m_hasNews = true;
};

} // namespace plantainhold
