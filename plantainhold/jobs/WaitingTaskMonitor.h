// Reports tasks that wait although executors have room for them, with what keeps them away, and runs
// whose start is neither confirmed nor refuted for long. It decides nothing: its lines tell an
// engineer which belief of the owner to question when a task that could run does not.
#pragma once

#include "plantainhold/jobs/PlacementObstacle.h"
#include "plantainhold/ports/Clock.h"

#include <array>
#include <cstddef>
#include <functional>
#include <span>
#include <unordered_set>

namespace plantainhold {

class EventSink;
struct ActiveExecutor;
struct ActiveRun;
struct ActiveStep;
struct ActiveTask;

class WaitingTaskMonitor {
public:
    // Returns what keeps the task from the executor now.
    using Explain = std::function<PlacementObstacle(ActiveExecutor&, const ActiveTask&)>;

    explicit WaitingTaskMonitor(EventSink& events)
        : m_events(events)
    {
    }

    // Writes at most s_maxLines lines, and nothing if it did so less than s_interval ago. `isRoundDue` tells
    // whether another round of placement has been requested. No method of this class is thread-safe.
    void check(const std::unordered_set<ActiveStep*>& readySteps, std::span<ActiveExecutor* const> executors, const Explain& explain, bool isRoundDue, TimePoint now);

    // How long a task waits, or a start is unconfirmed, before it is reported.
    static constexpr Milliseconds s_limit { 3'000 };
    static constexpr Milliseconds s_interval { 2'000 };
    static constexpr std::size_t s_maxLines = 10;

private:
    using Counts = std::array<std::size_t, s_placementObstacles>;

    bool checkStep(const ActiveStep& step, std::span<ActiveExecutor* const> executors, const Explain& explain, bool isRoundDue, TimePoint now);
    void noteStalledRun(const ActiveRun& run, TimePoint now);

    EventSink& m_events;
    TimePoint m_checkedAt {};
};

} // namespace plantainhold
