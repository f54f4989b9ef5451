// The owner's view of one executor: reserved resources, the fencing token and lease granted to it,
// how many run ends are recorded, and its recent behaviour.
#pragma once

#include "plantainhold/jobs/CrashEvidence.h"
#include "plantainhold/jobs/ExecutorReport.h"
#include "plantainhold/ports/Clock.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace plantainhold {

struct ActiveRun;

// A run that was given up because the lease of its executor expired.
struct ExpiredRun {
    TaskName task;
    std::uint32_t number = 0;
    std::string executor;
    std::int64_t incarnation = 0;
    CrashRelation crash = CrashRelation::None;
    TimePoint lostAt {};
    bool hasOutlastedStart = false;
};

struct ActiveExecutor {
    ExecutorEntry entry;
    std::string rack;
    // Incarnation that the list of executors named last. The entry's may be newer, as a report or a
    // record told; its address is then that of a former one.
    std::int64_t listedUnixMs = 0;
    // Incarnation that reported last; 0 if none has in this term.
    std::int64_t reportedUnixMs = 0;
    // When the newest evidence of the entry's incarnation arrived. A start time only identifies an
    // incarnation: it comes from a clock that may be set back. Another incarnation is newer if its
    // report was requested after this time.
    TimePoint incarnationSeenAt {};
    // Incarnations that are over, as later reports of others have proved; the newest ones.
    static constexpr std::size_t s_maxFormerIncarnations = 8;
    std::vector<std::int64_t> formerIncarnations;
    // True while the executor is in the list of executors.
    bool isListed = false;
    // The operator has evacuated its data centre: nothing is started here.
    bool isEvacuated = false;
    Resources reserved;
    // Reserved resources that may be preempted, by the priority of the queue.
    static constexpr std::size_t s_priorities = 8;
    std::array<Resources, s_priorities> preemptible;
    // Their sum, an upper bound of what any task could preempt.
    Resources preemptibleTotal;
    // Capacity held for tasks that wait for preempted runs here to stop.
    Resources nominated;
    std::vector<ActiveRun*> runs;
    // A run that the executor reports but that should not exist: it belongs to a job that has ended
    // or was given up.
    struct StrayRun {
        TaskName task;
        std::uint32_t number = 0;
        TimePoint stopSentAt {};
        // Value of ActiveExecutor::reports when a report last listed the run.
        std::uint64_t listedIn = 0;
    };
    std::vector<StrayRun> strayRuns;
    // The round of placement in which, or after which, something changed here that may let a task run here.
    std::uint64_t changedInRound = 0;
    // Numbers of runs of latency-critical tasks, and of best-effort tasks, which may disturb them.
    std::uint32_t latencyCriticalRuns = 0;
    std::uint32_t bestEffortRuns = 0;
    // Number of runs of tasks that may crash the executor, for as long as nothing else is placed beside them.
    std::uint32_t secludedRuns = 0;
    // Number of runs whose stop is wanted, and whether a best-effort run is slowed down heavily.
    std::uint32_t stoppingRuns = 0;
    bool hasSlowedRuns = false;
    // Millicores requested by best-effort tasks, and reserved by latency-critical tasks.
    std::int64_t bestEffortMillicores = 0;
    std::int64_t latencyCriticalMillicores = 0;
    // Number of reports processed.
    std::uint64_t reports = 0;

    // Fencing token of commands from now on, and the highest token that the executor has confirmed.
    std::uint64_t token = 0;
    std::uint64_t confirmedToken = 0;
    bool needsFence = true;

    // Address from which the incarnation that reported last has done so, and when its first report from there arrived.
    std::string reportedAddress;
    TimePoint reportedSince {};
    // When the newest response that shows the present incarnation arrived.
    TimePoint heardAt {};
    // Runs given up here whose executor may have crashed, or may have been cut off: its next report tells.
    std::vector<ExpiredRun> expiredRuns;
    // The executor's clock in its newest report, and when that report was requested and arrived. The
    // executor read the clock at some time in between.
    bool hasClock = false;
    std::int64_t clockMs = 0;
    TimePoint clockRequestedAt {};
    TimePoint clockReadAt {};
    // When the last lease granted here expires on our clock. Of the runs that are known to be with the
    // incarnation that reported last, none executes after this; of the others see
    // ActiveRun::unseenLeaseExpiresAt.
    TimePoint leaseExpiresAt {};

    // This incarnation may still carry out calls that were meant for a former one, and grant the longest lease to a
    // deadline on its clock. Once it has confirmed a newer token it carries out no older call.
    bool mayTakeFormerCalls = false;

    // Runs that were given up here may have completed. Until this time the executor is still
    // polled, even if it is not listed.
    TimePoint uncertainUntil {};

    // Number of start commands without a result; when the last result arrived that does not tell which
    // incarnation handled the start; and when the newest report was requested.
    std::uint32_t startsInFlight = 0;
    TimePoint uncertainStartAt {};
    TimePoint reportRequestedAt {};

    // Numbers of the last end that has been applied, and of the last one that is also in the store.
    std::uint64_t endsApplied = 0;
    std::uint64_t endsRecorded = 0;
    // The executor has discarded ends up to this number.
    std::uint64_t endsAcknowledged = 0;

    // For queues that need advice: whether the service allowed the last step that was asked about here.
    std::unordered_map<std::string, bool> adviceByQueue;

    // Number of calls that failed since the last report.
    std::uint32_t failedCalls = 0;

    // Decaying failure score of the runs here, and until when the executor gets no new tasks because of it.
    double failureScore = 0;
    TimePoint avoidedUntil {};
    TimePoint drainsUntil {};
    // Smoothed logarithm of actual over expected run duration.
    double slowness = 0;

    // Predicted headroom that latency-critical tasks of one image would lack here, with all
    // best-effort tasks at full pace. Negative while headroom is left.
    struct HeadroomDeficit {
        std::uint32_t image = 0;
        double deficit = 0;
    };
    std::vector<HeadroomDeficit> headroomDeficits;
    bool areDeficitsStale = true;
    // When the pacer last processed a report of this executor.
    TimePoint pacesUpdatedAt {};
    // Highest reported tail latency of a latency-critical task, divided by its target.
    double worstTailRatio = 0;

    static std::size_t priorityIndex(std::int32_t priority) { return static_cast<std::size_t>(std::clamp<std::int32_t>(priority, 0, s_priorities - 1)); }
    // Returns the upper bound of what preemption could free for a task of the given priority:
    // everything reserved by queues of lower precedence (a higher number).
    Resources preemptibleAfter(std::int32_t priority) const
    {
        Resources sum;
        for (std::size_t i = priority < 0 ? 0 : priorityIndex(priority) + 1; i < s_priorities; ++i)
            sum += preemptible[i];
        return sum;
    }
    bool isFormer(std::int64_t startedUnixMs) const { return std::find(formerIncarnations.begin(), formerIncarnations.end(), startedUnixMs) != formerIncarnations.end(); }
    Resources freeCapacity() const { return entry.capacity - reserved - nominated; }
    // True if best-effort tasks run beside latency-critical ones and may slow them down.
    bool isShared() const { return bestEffortRuns && latencyCriticalRuns; }
    // True if the incarnation that reported last has handled all starts that were sent so far, as the
    // clock in its response or a report that was requested afterwards proves.
    bool areStartsSettled() const { return !startsInFlight && reportRequestedAt >= uncertainStartAt; }
    bool isConfirmed() const { return hasClock && confirmedToken == token && !needsFence; }
};

} // namespace plantainhold
