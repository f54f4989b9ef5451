// Lets a task whose data lies in a rack pass over room elsewhere while waiting for room in that rack pays
// (LocalityWait), as far as the present runs tell when that will be (RackForecast).
//
// It is asked only once placement has found room elsewhere and none in the rack, so it costs nothing while no task
// names a rack or all find room there. Nothing is reserved meanwhile: another task may take the room that one waits
// for. Between rounds it keeps only which executors are in which rack.
#pragma once

#include "plantainhold/jobs/RackForecast.h"
#include "plantainhold/ports/Clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace plantainhold {

class JobPrioritizer;
struct ActiveExecutor;
struct ActiveStep;
struct ActiveTask;
struct SchedulerCounters;

class LocalityGate {
public:
    // A task takes `remoteFactor` times as long on another rack than that of its data; 1: nothing waits. The prioritizer
    // must outlive this object. No method of this class is thread-safe.
    LocalityGate(double remoteFactor, const JobPrioritizer& prioritizer);

    // Starts a round of placement. `executorsVersion` increases when the executors or their racks change.
    void beginRound(std::span<ActiveExecutor* const> executors, std::uint64_t executorsVersion);
    // Returns until when the task passes over the executor, which placement has chosen for it, to wait for room near its
    // data; std::nullopt if it is to start there. ActiveTask::passesOverUntil says the same.
    std::optional<TimePoint> passesOver(ActiveTask& task, const ActiveExecutor& chosen, TimePoint now);
    // Counts what the task that starts on its executor has waited, and whether that is away from its data.
    void noteStart(ActiveTask& task, SchedulerCounters& counters, TimePoint now) const;
    // Sets ActiveStep::preferredRack for a gang that wants one rack: one that can hold all its tasks now, the rack of its
    // data before others, then the one that is slowed down least; empty if there is none.
    void chooseRack(ActiveStep& step, TimePoint now);
    // Returns the factor by which the task's duration is longer on the executor for the sake of its data.
    double stretchOn(const ActiveExecutor& executor, const ActiveTask& task) const;

private:
    struct Forecast {
        RackForecast rack;
        std::vector<const ActiveExecutor*> executors;
    };

    bool mayPassOver(const ActiveTask& task, const ActiveExecutor& chosen) const;
    void updateRacks();
    // Returns the forecast of this round. Best-effort tasks find other room than those that reserve theirs.
    Forecast& forecastOf(const std::string& rack, bool isBestEffort, TimePoint now);
    Milliseconds expectedOn(const ActiveExecutor& executor, const ActiveTask& task) const;

    const double m_remoteFactor;
    const JobPrioritizer& m_prioritizer;
    std::span<ActiveExecutor* const> m_executors;
    std::uint64_t m_executorsVersion = 0;
    // As of m_racksVersion.
    std::unordered_map<std::string, std::vector<const ActiveExecutor*>> m_racks;
    std::uint64_t m_racksVersion = 0;
    // Of this round, by rack and kind of room.
    std::map<std::pair<std::string, bool>, Forecast> m_forecasts;
};

} // namespace plantainhold
