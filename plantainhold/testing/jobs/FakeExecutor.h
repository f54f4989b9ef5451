// An executor as the platform's documentation describes it: leases measured by its own clock, which
// may be slow; fencing tokens; increasing run numbers; ends that are reported until acknowledged; and
// a restart that forgets all of these. Tests check against its state.
#pragma once

#include "plantainhold/jobs/ExecutorCommand.h"
#include "plantainhold/jobs/ExecutorReport.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace plantainhold {

class FakeExecutor {
public:
    struct Running {
        TaskName task;
        std::uint32_t run = 0;
        std::int64_t workLeftMs = 0;
        std::int64_t workMs = 0;
        Resources resources;
        bool fails = false;
        bool isLongRunning = false;
    };

    // One life of the process.
    struct Incarnation {
        std::string id;
        std::string address;
        std::int64_t startedUnixMs = 1;
        // What the executor's clock shows at its start.
        std::int64_t clockMs = 0;
    };

    struct Hardware {
        Resources capacity;
        // The executor's clock advances by this per real ms.
        double clockRate = 1;
        // A longer lease is shortened to this.
        std::int64_t maxLeaseMs = 0;
        bool enforcesCapacity = true;
        std::string dataCentre {};
    };

    // No method of this class is thread-safe.
    FakeExecutor(Incarnation first, const Hardware& hardware);

    void advance(std::int64_t trueMs);
    // The process dies with all its runs. restart() begins a new incarnation.
    void crash();
    // Precondition: !isUp().
    void restart(Incarnation next);
    bool isUp() const { return m_isUp; }
    // Returns what the clock shows now, in milliseconds.
    std::int64_t clockMs() const;
    const Incarnation& incarnation() const { return m_incarnation; }
    // Returns the real time of the start, whatever start time the executor shows.
    std::int64_t startedAtMs() const { return m_startedAtMs; }

    CommandResult start(const Running& what, std::int64_t deadlineMs, std::uint64_t token);
    CommandResult stop(const TaskName& task, std::uint32_t run, std::uint64_t token);
    // Applies the token, lease and acknowledgements of a report request. Returns false if the token
    // is too low. The response, report(), may be sent later.
    bool acceptReportRequest(const ReportRequest& request);
    ExecutorReport report() const;
    bool hasEndsToReport() const { return !m_ended.empty(); }

    ExecutorEntry entry() const;
    const std::map<std::string, Running>& running() const { return m_running; }
    Resources used() const;
    // What runs keeps running, even if it exceeds the new capacity.
    void setCapacity(const Resources& capacity) { m_hardware.capacity = capacity; }
    const Resources& capacity() const { return m_hardware.capacity; }

    // Called for each run that starts, and for each end that is added to the report.
    std::function<void(const Running&)> onStart;
    std::function<void(const Running&, EndKind)> onEnd;
    // Called when an end is acknowledged within the lease and is thus permanent.
    std::function<void(const ReportedEnd&)> onAcknowledged;

private:
    void extendLease(std::int64_t deadlineMs);
    void end(const std::string& name, EndKind kind);

    Hardware m_hardware;
    Incarnation m_incarnation;
    std::int64_t m_trueMs = 0;
    // Real time of the start.
    std::int64_t m_startedAtMs = 0;
    bool m_isUp = true;
    std::uint64_t m_token = 0;
    std::int64_t m_deadline = 0;
    std::map<std::string, Running> m_running;
    // The highest run that was stopped or has ended here, by task.
    std::map<std::string, std::uint32_t> m_spent;
    std::vector<ReportedEnd> m_ended;
    std::uint64_t m_nextEnd = 1;
    // The lease has expired since the ends before this number.
    std::uint64_t m_lapsedBefore = 0;
};

} // namespace plantainhold
