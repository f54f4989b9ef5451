// Sorts waiting steps by urgency for placement. Priority comes first. Within one priority, the
// order is: long-running tasks that ran before; then jobs that can still meet their objective,
// started jobs before new ones, and of the new ones the newest first, because under overload the
// oldest are the least likely to meet it; then long-running tasks that never ran; then late jobs;
// and last, jobs whose objective is out of reach.
#pragma once

#include "plantainhold/jobs/LearnedState.h"
#include "plantainhold/ports/Clock.h"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace plantainhold {

struct ActiveJob;
struct ActiveStep;

class JobPrioritizer {
public:
    // Records how long the longest task of a step ran and what the spec had estimated. No method of
    // this class is thread-safe.
    void learn(std::string_view queue, std::uint32_t estimateMs, Milliseconds longest);
    std::vector<LearnedSlowdown> learned() const;
    void restore(std::span<const LearnedSlowdown> slowdowns);
    // Returns when the job should be complete. Precondition, also of sort():
    // ActiveJob::computeCriticalPath() was called.
    TimePoint objectiveOf(const ActiveJob& job) const;
    // Returns the latest start of the step's tasks that meets the objective, as far as the estimates tell.
    TimePoint latestStartOf(const ActiveStep& step) const;
    // Returns the expected duration of the longest task of a step: the estimate, corrected by the
    // learned slowdown.
    Milliseconds expected(const std::string& queue, std::uint32_t estimateMs) const;
    // Sorts steps by decreasing urgency.
    void sort(std::vector<ActiveStep*>& steps, TimePoint now) const;

private:
    enum class UrgencyClass : std::uint8_t { Returning,
        Started,
        OnTime,
        LongRunning,
        Late,
        Unreachable };
    struct Rank {
        std::int32_t priority;
        UrgencyClass urgency;
        std::int64_t order;
        // Of one job, what has been due for longest comes first, and of that the first step.
        std::uint32_t occurrence;
        std::uint32_t number;
        ActiveStep* step;
    };

    Rank rankOf(ActiveStep& step, TimePoint now) const;
    double slowdownOf(const std::string& queue) const;

    // Smoothed ratio of actual to estimated duration, by queue.
    std::unordered_map<std::string, double> m_slowdowns;
};

} // namespace plantainhold
