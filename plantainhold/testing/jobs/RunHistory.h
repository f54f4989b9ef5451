// What the executors of a JobSimulation really ran, and the checks of the guarantees given to users.
// It knows nothing of what owners believe.
#pragma once

#include "plantainhold/jobs/JobSpec.h"
#include "plantainhold/testing/jobs/FakeExecutor.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace plantainhold {

struct KeptState;
class JobTable;
class SimulatedJobs;
class SimulationContext;

class RunHistory {
public:
    static constexpr std::uint32_t s_maxAttempts = 3;
    // Executors that must have crashed under a task before it may be given up.
    static constexpr std::size_t s_crashesToGiveUp = 2;

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
    // An owner has sent a start to an executor whose data centre is evacuated for too long.
    void startedInEvacuated(const std::string& executor);

    // Checks that a job which is shown as completed has ended.
    void checkCompleted(const std::string& job);
    // What an executor that is up and can be reached has.
    struct Room {
        std::size_t slot = 0;
        Resources capacity;
        Resources used;
    };
    // Checks that in a calm stretch no job waits although executors have room. Call in each step.
    void checkWaitingJobs(const std::vector<Room>& rooms, const JobTable& table);
    // Checks that no run of a cancelled job goes on in a calm stretch. Call in each step.
    void checkCancelledRuns();
    // Checks that all jobs came to their end. Call at the end of the simulation.
    void checkFinalStates(const JobTable& table);

    // Checks that an owner keeps no more than SimulationOptions::maxKeptTasks.
    void checkKept(const KeptState& kept);
    const std::vector<std::string>& violations() const { return m_violations; }
    std::uint64_t starts() const { return m_starts; }

private:
    struct TaskHistory {
        bool isDone = false;
        bool isDoneAcknowledged = false;
        // Executors that crashed with a run of the task.
        std::size_t crashes = 0;
        std::uint32_t acknowledgedFailures = 0;
        std::uint32_t failures = 0;
        // When its last run ended; unset while none has.
        std::optional<std::int64_t> lastEndedAt;
        std::set<std::pair<std::size_t, std::uint32_t>> running;
        // The runs that have completed, each with the runs that started afterwards.
        std::map<std::uint32_t, std::set<std::uint32_t>> startedAfterDone;
    };

    void checkStart(const std::string& name, const TaskHistory& history, const FakeExecutor::Running& run);
    void checkPrecedingSteps(const std::string& name, const TaskName& task);
    // Returns the names of all tasks of the job, of each of its occurrences.
    std::vector<TaskName> tasksOf(const std::string& job) const;
    bool isDue(const TaskName& task) const;
    void checkWaitingJob(const std::string& job, const std::vector<Room>& rooms);
    // Returns true once `isWaiting` has been true in all calls for that long.
    bool waitsTooLong(std::map<std::string, std::int64_t>& since, const std::string& name, bool isWaiting, std::int64_t limitMs) const;
    // The waiting of long-running tasks as it is promised to users, at any time and however full the executors are.
    void checkCalmStretch(const std::vector<Room>& rooms, const JobTable& table);
    void checkCalmlyWaitingJob(const std::string& job, const std::vector<Room>& rooms);
    // Checks that no job is shown as failed because executors crashed under it.
    void checkGivenUp(const std::string& job, const JobTable& table);
    // True if the task's turn has come, it is neither done nor running, and an executor could hold it twice.
    bool isWaitingBesideRoom(const TaskName& task, const std::vector<Room>& rooms);
    bool isTurnOf(const TaskName& task);
    // True if the job is shown as failed, and executors have crashed under one of its tasks so often that it may be.
    bool isGivenUp(const std::string& job, const JobTable& table) const;
    bool hasFailed(const std::string& job);
    bool isDone(const TaskName& task);
    void fail(const std::string& what);

    SimulationContext& m_context;
    const SimulatedJobs& m_jobs;
    std::map<std::string, TaskHistory> m_tasks;
    // Since when a job, or a long-running task, waits beside room.
    std::map<std::string, std::int64_t> m_waitingSince;
    // The same for long-running tasks whose last run ended long enough ago, in a calm stretch.
    std::map<std::string, std::int64_t> m_calmlyWaitingSince;
    std::uint64_t m_starts = 0;
    // Jobs that checkGivenUp() has found.
    std::set<std::string> m_givenUp;
    std::vector<std::string> m_violations;
};

} // namespace plantainhold
