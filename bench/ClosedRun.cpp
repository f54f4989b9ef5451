// The loop of one run, and its measures.

#include "bench/ClosedRun.h"

#include "bench/ClosedBaselines.h"
#include "bench/ClosedOracle.h"
#include "bench/ClosedWorld.h"
#include "plantainhold/policy/Fleet.h"
#include "plantainhold/policy/Planner.h"

#include <algorithm>
#include <array>
#include <memory>
#include <vector>

namespace plantainhold::bench {

namespace {

    constexpr double s_secondsPerHour = 3600;

    // The daemon's planner itself; nothing is added between it and the fake.
    class ProductPolicy final : public ClosedPolicy {
    public:
        explicit ProductPolicy(std::uint32_t seed)
            : m_planner(PlannerOptions { .seed = seed })
        {
        }

        void workerUpdated(const WorkerObservation& worker, TimePoint now) override { m_planner.workerUpdated(worker, now); }
        void taskWaiting(const TaskRequest& request, TimePoint now) override { m_planner.taskWaiting(request, now); }
        void attemptStarted(const AttemptId& id, const TaskRequest& request, const std::string& worker, const Resources& reserved, TimePoint now) override
        {
            m_planner.attemptStarted(id, request, worker, reserved, now);
        }
        void attemptEnded(const AttemptReport& last, TimePoint now) override { m_planner.attemptEnded(last, now); }
        void sample(const AttemptReport& report, TimePoint now) override { m_planner.sample(report, now); }
        Plan plan(TimePoint now) override { return m_planner.plan(now); }

    private:
        Planner m_planner;
    };

    std::unique_ptr<ClosedPolicy> makeIsolated(const ClosedWorld&)
    {
        return std::make_unique<ClosedBaseline>(ClosedBaseline::Traits { .isIsolated = true });
    }

    std::unique_ptr<ClosedPolicy> makeFirstFit(const ClosedWorld&)
    {
        return std::make_unique<ClosedBaseline>(ClosedBaseline::Traits {});
    }

    std::unique_ptr<ClosedPolicy> makeReactive(const ClosedWorld&)
    {
        return std::make_unique<ClosedBaseline>(ClosedBaseline::Traits { .evictsAtOnce = true });
    }

    std::unique_ptr<ClosedPolicy> makeProduct(const ClosedWorld& world)
    {
        return std::make_unique<ProductPolicy>(world.scenario().seed);
    }

    std::unique_ptr<ClosedPolicy> makeOracle(const ClosedWorld& world)
    {
        return std::make_unique<ClosedOracle>(world);
    }

    struct PolicyEntry {
        const char* name;
        std::unique_ptr<ClosedPolicy> (*make)(const ClosedWorld&);
    };
    constexpr std::array<PolicyEntry, 5> s_policies { {
        { "isolated", makeIsolated },
        { "firstfit", makeFirstFit },
        { "reactive", makeReactive },
        { "plantainhold", makeProduct },
        { "oracle", makeOracle },
    } };

    // Slowdown over limit of every service and second, in bins.
    class ObjectiveHistogram {
    public:
        void addAll(const ClosedWorld& world)
        {
            for (std::size_t i = 0; i < world.tasks().size() && world.tasks()[i].scenario->isService; ++i) {
                const ClosedTask& task = world.tasks()[i];
                double limit = world.scenario().serviceKinds[task.scenario->kind].slowdownLimit;
                // An executor that does not run answers nobody in time.
                add(task.phase == ClosedPhase::Running ? world.slowdown(i) / limit : s_largest);
            }
        }

        double outOfObjective() const { return static_cast<double>(m_over) / static_cast<double>(m_count); }

        double quantile(double share) const
        {
            auto left = static_cast<long>(share * static_cast<double>(m_count));
            std::size_t bin = 0;
            while (bin + 1 < m_bins.size() && (left -= m_bins[bin]) >= 0)
                ++bin;
            return static_cast<double>(bin) / s_binsPerUnit;
        }

    private:
        static constexpr double s_largest = 10;
        static constexpr int s_binsPerUnit = 100;

        void add(double ratio)
        {
            auto bin = static_cast<std::size_t>(std::min(ratio, s_largest) * s_binsPerUnit);
            ++m_bins[bin];
            ++m_count;
            m_over += ratio > 1;
        }

        std::array<long, static_cast<std::size_t>(s_largest) * s_binsPerUnit + 1> m_bins {};
        long m_count = 0;
        long m_over = 0;
    };

} // namespace

const std::vector<std::string>& closedPolicyNames()
{
    static const std::vector<std::string> s_names = [] {
        std::vector<std::string> names;
        for (const PolicyEntry& it : s_policies)
            names.emplace_back(it.name);
        return names;
    }();
    return s_names;
}

ClosedMeasures runClosed(std::string_view policyName, std::string_view team, std::uint32_t seed)
{
    ClosedScenario scenario = makeScenario(team, seed);
    ClosedWorld world(scenario);
    auto entry = std::find_if(s_policies.begin(), s_policies.end(), [&](const PolicyEntry& it) { return it.name == policyName; });
    std::unique_ptr<ClosedPolicy> policy = entry->make(world);
    ObjectiveHistogram histogram;
    world.introduce(*policy);
    while (world.second() + 1 < scenario.seconds) {
        world.step(*policy);
        world.perform(policy->plan(world.now()), *policy);
        histogram.addAll(world);
    }
    const ClosedCounts& counts = world.counts();
    ClosedMeasures measures;
    measures.p99OverObjective = histogram.quantile(0.99);
    measures.outOfObjective = histogram.outOfObjective();
    measures.coreHoursPerHour = (counts.usefulCoreSeconds + world.unfinishedCoreSeconds()) / scenario.seconds;
    measures.evictions = counts.evictions;
    measures.lostCoreHours = counts.lostCoreSeconds / s_secondsPerHour;
    measures.completedTasks = counts.completed;
    measures.failedTasks = counts.failed;
    measures.urgentWaitSeconds = counts.urgentStarts ? counts.urgentWaitSeconds / counts.urgentStarts : 0;
    return measures;
}

} // namespace plantainhold::bench
