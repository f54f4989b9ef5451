// What the executors of a JobSimulation really ran, and the checks of the guarantees given to users.
// It knows nothing of what owners believe.
#pragma once

#include "plantainhold/testing/jobs/FakeExecutor.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace plantainhold {

class JobTable;
class SimulatedJobs;
class SimulationContext;

class RunHistory {
public:
    static constexpr std::uint32_t s_maxAttempts = 3;

    // No method of this class is thread-safe.
    RunHistory(SimulationContext& context, const SimulatedJobs& jobs);

    // Executors are numbered; the number stands for a process slot, whatever its id.
    void started(std::size_t executor, const FakeExecutor::Running& run);
    void ended(std::size_t executor, const FakeExecutor::Running& run, EndKind kind);
    // The end was acknowledged within its lease and is thus permanent.
    void acknowledged(const ReportedEnd& end);
    // The executor crashes with all its runs.
    void crashed(std::size_t executor);
    // A start has brought the executor over its capacity, which its entry had shown for long enough.
    void exceeded(const std::string& executor);

    // Checks that a job which is shown as completed has ended.
    void checkCompleted(const std::string& job);
    // Checks that no run of a cancelled job goes on in a calm stretch. Call in each step.
    void checkCancelledRuns();
    // Checks that all jobs came to their end. Call at the end of the simulation.
    void checkFinalStates(const JobTable& table);

    const std::vector<std::string>& violations() const { return m_violations; }
    std::uint64_t starts() const { return m_starts; }

private:
    struct TaskHistory {
        bool isDone = false;
        bool isDoneAcknowledged = false;
        std::uint32_t acknowledgedFailures = 0;
        std::set<std::pair<std::size_t, std::uint32_t>> running;
        // The runs that have completed, each with the runs that started afterwards.
        std::map<std::uint32_t, std::set<std::uint32_t>> startedAfterDone;
    };

    void checkStart(const std::string& name, const TaskHistory& history, const FakeExecutor::Running& run);
    void checkPrecedingSteps(const std::string& name, const TaskName& task);
    bool isDone(const TaskName& task);
    void fail(const std::string& what);

    SimulationContext& m_context;
    const SimulatedJobs& m_jobs;
    std::map<std::string, TaskHistory> m_tasks;
    std::uint64_t m_starts = 0;
    std::vector<std::string> m_violations;
};

} // namespace plantainhold
