// In which order waiting steps are offered room. Priority goes first. Within one,
// a lasting task that ran before comes back first; then jobs that can still meet
// their objective, those that have begun before those that have not, and of these
// the newest first: under overload the oldest have the least chance. Lasting tasks
// that never ran follow, and last come jobs whose objective is out of reach.
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
    // The longest task of a step ran this long; the estimate was the spec's. Not thread-safe, as the whole class.
    void learn(std::string_view queue, std::uint32_t estimateMs, Milliseconds longest);
    std::vector<LearnedSlowdown> learned() const;
    void restore(std::span<const LearnedSlowdown> slowdowns);
    // When the job should be complete. Precondition, here and below: its chains are measured.
    TimePoint objectiveOf(const ActiveJob& job) const;
    // How long the longest task of a step may take.
    Milliseconds expected(const std::string& queue, std::uint32_t estimateMs) const;
    // Sorts steps for placement; the most urgent first.
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
        ActiveStep* step;
    };

    Rank rankOf(ActiveStep& step, TimePoint now) const;
    double slowdownOf(const std::string& queue) const;

    // Actual time over the estimate, smoothed, by queue.
    std::unordered_map<std::string, double> m_slowdowns;
};

} // namespace plantainhold
