// ExecutorState is one incarnation of an executor as the platform describes it: fencing
// tokens, a lease on its own clock, runs, tombstones and numbered ends. It has no network;
// what it does is reported to the ledger.
#pragma once

#include "plantainhold/ports/Clock.h"
#include "standin/soak/RunLedger.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace plantainhold::soak {

class SoakRandom;

enum class OrderResult : std::uint8_t {
    Accepted,
    Fenced,
    Superseded,
    TooLate,
    NoRoom,
};

struct StartOrder {
    std::string task;
    std::uint32_t number = 0;
    std::string payload;
    // A time on the executor's clock, in ms.
    std::int64_t deadlineMs = 0;
    std::uint64_t token = 0;
};

// A job's payload is the time in ms that each of its tasks works; this and STEP.INDEX may
// follow, and that task crashes its executor.
inline constexpr std::string_view s_deadlyMark = " deadly ";

// Follows the time that the task takes to begin in the payload of a job whose tasks run until
// they are stopped.
inline constexpr std::string_view s_longRunningMark = " long-running";

struct StopOrder {
    std::string task;
    std::uint32_t number = 0;
    std::uint64_t token = 0;
};

struct ReportOrder {
    std::uint64_t token = 0;
    std::uint64_t ackCursor = 0;
    std::optional<std::int64_t> deadlineMs;
};

struct ExecutorTraits {
    std::string id;
    std::int64_t bornUnixMs = 0;
    // Speed of the executor's clock; 0.98 is the slowest.
    double clockRate = 1;
    std::uint32_t maxRuns = 8;
    // Broken on purpose, as a control of the checks.
    bool ignoresTokens = false;
    // Otherwise it starts whatever it is told to start.
    bool enforcesCapacity = true;
};

class ExecutorState {
public:
    struct ActiveRun {
        RunLedger::RunId id = 0;
        std::uint32_t number = 0;
        TimePoint startedAt;
        // The time that it works, or that it takes to begin if it is long-running.
        Milliseconds work {};
        TimePoint endsAt;
        bool isStopping = false;
    };

    struct EndedRun {
        std::uint64_t position = 0;
        RunLedger::RunId id = 0;
        std::string task;
        std::uint32_t number = 0;
        RunEnd end = RunEnd::Done;
    };

    // The ledger and the random source must outlive the object. The class is not thread-safe.
    ExecutorState(ExecutorTraits traits, RunLedger& ledger, SoakRandom& random, TimePoint now);

    OrderResult start(const StartOrder& order, TimePoint now);
    OrderResult stop(const StopOrder& order, TimePoint now);
    // Accepts the acknowledgement and the lease; what is running and ended is read separately.
    OrderResult report(const ReportOrder& order, TimePoint now);
    OrderResult checkToken(std::uint64_t token);

    // Ends the runs whose work is done or whose lease has expired by now.
    void advance(TimePoint now);
    void resize(std::uint32_t maxRuns, TimePoint now);
    // Whether a task that was started here crashes the executor now.
    bool isCrashDue(TimePoint now) const { return m_crashAt && *m_crashAt <= now; }
    // Ends everything without a trace.
    void crash();

    const ExecutorTraits& traits() const { return m_traits; }
    TimePoint bootedAt() const { return m_bootedAt; }
    std::int64_t clockMs(TimePoint now) const;
    const std::map<std::string, ActiveRun>& running() const { return m_running; }
    const std::vector<EndedRun>& ended() const { return m_ended; }

private:
    // Room that there was until then; callers may not know yet that it is gone.
    struct FormerRoom {
        TimePoint until;
        std::uint32_t maxRuns = 0;
    };

    // The most runs that a caller may believe there is room for.
    std::uint32_t knownRoom(TimePoint now) const;
    void extendLease(std::int64_t deadlineMs, TimePoint now);
    void end(std::map<std::string, ActiveRun>::iterator run, RunEnd how);

    ExecutorTraits m_traits;
    RunLedger& m_ledger;
    SoakRandom& m_random;
    TimePoint m_bootedAt;
    std::uint64_t m_token = 0;
    std::int64_t m_leaseDeadlineMs = 0;
    std::map<std::string, ActiveRun> m_running;
    std::vector<EndedRun> m_ended;
    std::uint64_t m_endCount = 0;
    std::optional<TimePoint> m_crashAt;
    std::vector<FormerRoom> m_formerRooms;
    // The highest run of each task that was stopped or has ended here.
    std::map<std::string, std::uint32_t> m_tombstones;
};

} // namespace plantainhold::soak
