// The closed-loop fake: workers whose tasks slow each other down by a hidden
// pairwise matrix. It performs what a policy decides and reports with lag and
// noise, as the platform's workers would. Not a cluster simulator: one data
// centre, no network, no log.
#pragma once

#include "bench/ClosedScenario.h"
#include "plantainhold/policy/Plan.h"
#include "plantainhold/policy/TaskRequest.h"
#include "plantainhold/ports/Clock.h"
#include "plantainhold/ports/WorkerPort.h"

#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace plantainhold::bench {

class ClosedPolicy;

enum class ClosedPhase : std::uint8_t {
    NotArrived,
    Waiting,
    Running,
    // A checkpoint is being written; the end follows.
    Stopping,
    Completed,
    Failed,
};

struct ClosedTask {
    const ScenarioTask* scenario = nullptr;
    ClosedPhase phase = ClosedPhase::NotArrived;
    std::size_t worker = 0;
    std::uint32_t attempt = 0;
    int failures = 0;
    Resources reserved;
    std::uint32_t throttlePercent = 100;
    // Seconds of full speed: done, and of these durable.
    double doneSeconds = 0;
    double durableSeconds = 0;
    int startedAt = 0;
    int waitsSince = 0;
    int stopsAt = 0;
    int checkpointAt = 0;
    // Of the current report window.
    double slowdownSum = 0;
    double usedSum = 0;
    int windowSeconds = 0;
};

struct ClosedCounts {
    int evictions = 0;
    int completed = 0;
    int failed = 0;
    double usefulCoreSeconds = 0;
    double lostCoreSeconds = 0;
    double urgentWaitSeconds = 0;
    int urgentStarts = 0;
    int lateUrgentStarts = 0;
};

class ClosedWorld {
public:
    // The scenario must outlive the world. Not thread-safe, as the class.
    explicit ClosedWorld(const ClosedScenario& scenario);

    // Tells the policy of the workers, and of the services where they run at the start.
    void introduce(ClosedPolicy& policy);
    // Advances by one second and feeds the policy what it may see.
    void step(ClosedPolicy& policy);
    // Performs the decisions. Throws std::logic_error when one exceeds a worker's capacity.
    void perform(const Plan& plan, ClosedPolicy& policy);

    int second() const { return m_second; }
    TimePoint now() const;
    const ClosedScenario& scenario() const { return m_scenario; }
    const ClosedCounts& counts() const { return m_counts; }
    // Work of unfinished tasks that would still count; call at the end.
    double unfinishedCoreSeconds() const;

    // The truth, for measures and for the oracle alone.
    const std::vector<ClosedTask>& tasks() const { return m_tasks; }
    const std::vector<std::size_t>& tasksOn(std::size_t worker) const { return m_onWorker[worker]; }
    Resources reservedOn(std::size_t worker) const { return m_reserved[worker]; }
    // Latency over unloaded latency of a running service, by what runs beside it.
    double slowdown(std::size_t service) const;
    // Pressure of one batch task at full speed on a service, at this load.
    double pressure(std::size_t service, std::size_t batch, double load) const;
    static double slowdownOf(double load, double pressure);
    // Share of its full pressure that a task at this share of full speed exerts:
    // caches stay in use however slowly it runs.
    static double pressureShare(double speed);
    // The inverse.
    static double speedOf(double pressureShare);
    double busyCores(const ClosedTask& task) const;
    std::size_t indexOf(const std::string& task) const { return m_indexes.at(task); }
    TaskRequest requestOf(const ClosedTask& task) const;

private:
    void arrive(ClosedPolicy& policy);
    void restartServices(ClosedPolicy& policy);
    void advanceTasks(ClosedPolicy& policy);
    void advanceBatch(ClosedTask& task, ClosedPolicy& policy);
    void report(ClosedPolicy& policy);
    void start(const Placement& placement, ClosedPolicy& policy);
    void startOn(std::size_t index, std::size_t worker, const Resources& reserved, ClosedPolicy& policy);
    void act(const PolicyAction& action);
    void end(ClosedTask& task, AttemptState state, ClosedPolicy& policy);
    void makeDurable(ClosedTask& task);
    AttemptReport reportOf(ClosedTask& task);
    static void fillProgress(const ClosedTask& task, AttemptReport& report);
    double coresOf(const ClosedTask& task) const;
    bool isOnWorker(const ClosedTask& task) const;
    double noise(double sigma);

    struct PendingReport {
        AttemptReport report;
        int takenAt;
    };

    const ClosedScenario& m_scenario;
    std::mt19937 m_random;
    std::vector<ClosedTask> m_tasks;
    std::vector<std::vector<std::size_t>> m_onWorker;
    std::vector<Resources> m_reserved;
    std::unordered_map<std::string, std::size_t> m_indexes;
    std::unordered_map<std::string, std::size_t> m_workerIndexes;
    // Reports by the second in which they arrive.
    std::vector<std::vector<PendingReport>> m_reports;
    std::size_t m_nextArrival = 0;
    int m_second = 0;
    ClosedCounts m_counts;
};

} // namespace plantainhold::bench
