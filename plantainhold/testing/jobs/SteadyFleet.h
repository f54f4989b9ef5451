// Executors that run whatever they are given and report every 50 ms, until they crash and restart in place: when the
// test says so, or some time after a task of a deadly job was started there.
#pragma once

#include "plantainhold/testing/jobs/SchedulerFixture.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace plantainhold {

// No method is thread-safe.
class SteadyFleet {
public:
    static constexpr std::int64_t s_millicores = 8'000;
    static constexpr Milliseconds s_tick { 50 };

    explicit SteadyFleet(std::size_t executors)
    {
        for (std::size_t i = 0; i < executors; ++i) {
            fixture.addExecutor(nameOf(i), s_millicores);
            m_executors[nameOf(i)] = {};
        }
    }

    static std::string nameOf(std::size_t number) { return "x" + std::to_string(number); }

    // From now on each run of the job crashes its executor that long after its start.
    void makeDeadly(const std::string& job, Milliseconds after) { m_deadlyJobs[job] = after; }

    // Returns the number of starts.
    std::size_t run(Milliseconds time)
    {
        std::size_t n = 0;
        for (Milliseconds passed { 0 }; passed < time; passed += s_tick)
            n += step();
        return n;
    }

    void crashAll()
    {
        for (auto& [name, executor] : m_executors)
            crash(executor);
    }

    // Returns the number of executors that a suspect has to itself.
    std::size_t secluded()
    {
        return static_cast<std::size_t>(std::count_if(m_executors.begin(), m_executors.end(), [this](const auto& it) { return fixture.scheduler().executor(it.first)->secludedRuns > 0; }));
    }

    SchedulerFixture fixture;
    std::size_t mostSecluded = 0;
    std::size_t crashes = 0;
    // Runs of jobs that are not deadly, which ended with their executor.
    std::size_t lostRuns = 0;

private:
    struct Run {
        ReportedRun reported;
        TimePoint startedAt {};
    };
    struct Executor {
        std::int64_t incarnation = 1;
        std::vector<Run> runs;
    };

    std::size_t step()
    {
        std::vector<ExecutorCommand> commands = fixture.advance(s_tick);
        fixture.accept(commands);
        for (const ExecutorCommand& it : commands) {
            if (it.kind == CommandKind::Start)
                m_executors.at(it.executor).runs.push_back({ { it.task, it.run, {}, 100, 0 }, fixture.now() });
        }
        for (auto& [name, executor] : m_executors) {
            if (std::any_of(executor.runs.begin(), executor.runs.end(), [this](const Run& it) { return isCrashing(it); }))
                crash(executor);
            report(name, executor);
        }
        mostSecluded = std::max(mostSecluded, secluded());
        return starts(commands);
    }

    bool isDeadly(const Run& run) const { return m_deadlyJobs.contains(run.reported.task.job); }
    bool isCrashing(const Run& run) const { return isDeadly(run) && fixture.now() >= run.startedAt + m_deadlyJobs.at(run.reported.task.job); }

    void crash(Executor& executor)
    {
        ++crashes;
        ++executor.incarnation;
        lostRuns += static_cast<std::size_t>(std::count_if(executor.runs.begin(), executor.runs.end(), [this](const Run& it) { return !isDeadly(it); }));
        executor.runs.clear();
    }

    void report(const std::string& name, const Executor& executor)
    {
        std::vector<ReportedRun> running;
        for (const Run& it : executor.runs)
            running.push_back(it.reported);
        fixture.report(name, running, {}, executor.incarnation);
    }

    std::map<std::string, Executor> m_executors;
    std::map<std::string, Milliseconds> m_deadlyJobs;
};

} // namespace plantainhold
