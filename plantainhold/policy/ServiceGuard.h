// Protects the guarded services of each worker. It learns from their samples, estimates
// the throughput that another batch task would add beside them, and sets the speeds of
// batch tasks so that the predicted slowdown of each service stays within its objective.
#pragma once

#include "plantainhold/policy/ColocationHistory.h"
#include "plantainhold/policy/Estimate.h"
#include "plantainhold/policy/InterferenceModel.h"
#include "plantainhold/policy/WorkerIndex.h"
#include "plantainhold/ports/Clock.h"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace plantainhold {

class Fleet;
class SpeedProblem;
struct AttemptReport;
struct PolicyTask;

// The new speed of a batch task.
struct SpeedDecision {
    PolicyTask* task = nullptr;
    std::uint32_t percent = 100;
    // The service that limits the speed, or null if the worker has no protected service
    // any more, and its predicted slowdown if all batch tasks ran at full speed.
    const PolicyTask* service = nullptr;
    double predictedSlowdown = 0;
};

class ServiceGuard {
public:
    // The fleet must outlive the guard. No method of this class is thread-safe.
    explicit ServiceGuard(const Fleet& fleet);

    // Record that an attempt started or ended. Precondition: the task is placed.
    void taskStarted(const PolicyTask& task, TimePoint now);
    void taskEnded(const PolicyTask& task, TimePoint now);
    // Learns from a report. Precondition: the task is placed, and its fields already hold
    // the values of this report.
    void sample(const PolicyTask& task, const AttemptReport& report, TimePoint now);

    // Returns the throughput that the worker gains, in busy cores, if a task of the kind
    // with the given number of busy cores is added and all speeds are optimal. The speed
    // that other tasks lose to keep services within their objectives is deducted.
    double throughputGain(WorkerSlot slot, NameId kind, double cores, TimePoint now) const;
    bool protectsServices(WorkerSlot slot) const;

    // Decides the speeds on one worker and records them as applied. Returns those that changed.
    std::vector<SpeedDecision> steer(WorkerSlot slot, TimePoint now);

    // Returns the speed decided last, in percent; 100 for a task that is not a running batch task.
    std::uint32_t speedOf(const PolicyTask& task) const;
    // Returns how long the task has been throttled so far that it mainly occupies capacity.
    Milliseconds stalledFor(const PolicyTask& task, TimePoint now) const;
    // Returns the batch task with the highest pressure on a service if an objective has been
    // out of reach for a while even with all neighbours at minimum speed, or null if none has.
    PolicyTask* highestPressureTask(WorkerSlot slot, TimePoint now);

private:
    struct PairDeviation {
        std::uint64_t serial;
        Estimate estimate;
    };
    struct ServiceState {
        Estimate bias;
        double load = 0;
        // Smoothed change of the load per second.
        double trend = 0;
        TimePoint startedAt;
        TimePoint sampledAt;
        bool hasSample = false;
        std::vector<PairDeviation> deviations;
    };
    struct BatchState {
        std::uint32_t percent = 100;
        TimePoint changedAt;
        // Since when the task has run at s_stalledPercent or less; max() if it runs faster.
        TimePoint stalledSince = TimePoint::max();
    };
    // The tasks of one worker with the SpeedProblem that they form.
    struct Colocation;

    Colocation colocationOf(WorkerSlot slot, TimePoint now) const;
    void addBatch(Colocation& colocation, NameId kind, double cores, std::uint64_t serial) const;
    void sampleService(const PolicyTask& task, const AttemptReport& report, TimePoint now);
    void sampleBatch(const PolicyTask& task, const AttemptReport& report, TimePoint now);
    void updateLoadTrend(ServiceState& state, double load, TimePoint takenAt) const;
    double forecastLoad(const ServiceState& state, TimePoint now) const;
    Estimate& deviationOf(ServiceState& state, NameId serviceKind, const ColocationHistory::TaskUsage& usage);
    std::uint32_t applyHysteresis(const BatchState& state, double share, TimePoint now) const;

    const Fleet& m_fleet;
    InterferenceModel m_model;
    ColocationHistory m_history;
    // Keyed by the serial of the placement.
    std::unordered_map<std::uint64_t, ServiceState> m_services;
    std::unordered_map<std::uint64_t, BatchState> m_batch;
    // Since when throttling alone cannot keep each worker's services within their objectives.
    std::unordered_map<WorkerSlot, TimePoint> m_overloadedSince;
};

} // namespace plantainhold
