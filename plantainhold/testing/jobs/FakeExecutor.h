// An executor as the platform's pages describe it: leases on its own, slow clock,
// fencing tokens, run numbers that only rise, ends that are listed until they are
// acknowledged. It knows the truth that the checks are made against.
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

    // The clock begins at an offset and runs at the rate, in its ms a true ms.
    FakeExecutor(std::string id, Resources capacity, std::int64_t clockOffsetMs, double clockRate);

    void advance(std::int64_t trueMs);
    // The process dies with all that it runs; a new life begins at rebirth().
    void crash();
    void restart(std::int64_t startedUnixMs);
    bool isUp() const { return m_isUp; }

    CommandResult start(const Running& what, std::int64_t deadlineMs, std::uint64_t token);
    CommandResult stop(const TaskName& task, std::uint32_t run, std::uint64_t token);
    // Nothing when the token is too low.
    bool report(const ReportRequest& request, ExecutorReport& report);

    ExecutorEntry entry() const;
    const std::map<std::string, Running>& running() const { return m_running; }
    Resources used() const;

    // Called for each run that begins and each end that is listed.
    std::function<void(const Running&)> onStart;
    std::function<void(const Running&, EndKind)> onEnd;
    // An end was acknowledged, so that it stands for good.
    std::function<void(const EndRow&)> onAcknowledged;

private:
    std::int64_t clockMs() const;
    void end(const std::string& name, EndKind kind);

    const std::string m_id;
    const Resources m_capacity;
    const std::int64_t m_offset;
    const double m_rate;
    std::int64_t m_trueMs = 0;
    std::int64_t m_startedUnixMs = 1;
    bool m_isUp = true;
    std::uint64_t m_token = 0;
    std::int64_t m_deadline = 0;
    std::map<std::string, Running> m_running;
    // The highest run that was stopped or ended here.
    std::map<std::string, std::uint32_t> m_spent;
    std::vector<EndRow> m_ended;
    std::uint64_t m_nextEnd = 1;
    // The lease has lapsed since the ends before this number.
    std::uint64_t m_lapsedBefore = 0;
};

} // namespace plantainhold
