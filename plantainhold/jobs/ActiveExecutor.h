// The owner's view of one executor: what is reserved there, the fencing token and
// lease that it was given, how far its ends are recorded, and how it behaves.
#pragma once

#include "plantainhold/jobs/ExecutorReport.h"
#include "plantainhold/ports/Clock.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace plantainhold {

struct ActiveRun;

struct ActiveExecutor {
    ExecutorEntry entry;
    std::string rack;
    // In the list of executors at present.
    bool isListed = false;
    Resources reserved;
    // The part of it that may be preempted, by the priority of its queue.
    static constexpr std::size_t s_priorities = 8;
    std::array<Resources, s_priorities> preemptible;
    // Held for tasks that wait for others here to stop.
    Resources nominated;
    std::vector<ActiveRun*> runs;
    // Of these: tasks that serve users, and tasks that may disturb them.
    std::uint32_t latencyCriticalRuns = 0;
    std::uint32_t bestEffortRuns = 0;
    // Processors that the filling tasks ask for, and those that serving tasks reserve.
    std::int64_t bestEffortMillicores = 0;
    std::int64_t latencyCriticalMillicores = 0;
    // Reports taken in.
    std::uint64_t reports = 0;

    // Token of orders from now on, and the highest that the executor has confirmed.
    std::uint64_t token = 0;
    std::uint64_t confirmedToken = 0;
    bool needsFence = true;

    // Its clock, as read at some moment between a call and its answer.
    bool hasClock = false;
    std::int64_t clockMs = 0;
    TimePoint clockReadAt {};
    // Nothing that we know of can run there after this moment.
    TimePoint leaseExpiresAt {};

    // Runs were given up here that may have ended well: until then it is asked on,
    // also while it is not listed.
    TimePoint uncertainUntil {};

    // Ends up to here are applied; up to there, they are in the store as well.
    std::uint64_t endsApplied = 0;
    std::uint64_t endsRecorded = 0;
    // The executor has forgotten the ends up to here.
    std::uint64_t endsAcknowledged = 0;

    // Since when calls fail; epoch: they do not.
    TimePoint failingSince {};
    std::uint32_t failedCalls = 0;

    // Recent behaviour of what it ran.
    double failureScore = 0;
    TimePoint avoidedUntil {};
    TimePoint drainsUntil {};
    // Smoothed logarithm of how much longer its runs take than expected.
    double slowness = 0;

    // By image of the serving tasks here, how much of what they can bear is used up,
    // in headroom beyond it, with all filling tasks at full pace.
    struct HeadroomDeficit {
        std::uint32_t image = 0;
        double deficit = 0;
    };
    std::vector<HeadroomDeficit> headroomDeficits;
    bool areDeficitsStale = true;
    // When the pacer last saw its figures.
    TimePoint pacesUpdatedAt {};
    // Worst reported tail of a serving task, over its target.
    double worstTailRatio = 0;

    static std::size_t priorityIndex(std::int32_t priority) { return static_cast<std::size_t>(std::clamp<std::int32_t>(priority, 0, s_priorities - 1)); }
    // What could be freed for a task at the most: of queues that come after the priority.
    Resources preemptibleAfter(std::int32_t priority) const
    {
        Resources sum;
        for (std::size_t i = priority < 0 ? 0 : priorityIndex(priority) + 1; i < s_priorities; ++i)
            sum += preemptible[i];
        return sum;
    }
    Resources freeCapacity() const { return entry.capacity - reserved - nominated; }
    bool isConfirmed() const { return hasClock && confirmedToken == token && !needsFence; }
    bool acceptsWork(TimePoint now) const
    {
        return isListed && isConfirmed() && !entry.isDraining && !failedCalls && now >= avoidedUntil;
    }
};

} // namespace plantainhold
