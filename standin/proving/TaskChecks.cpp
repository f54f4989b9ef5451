// Checks on what truly ran on workers.

#include "standin/proving/Checks.h"

#include <algorithm>
#include <array>
#include <limits>
#include <map>
#include <set>

namespace plantainhold::standin {

namespace {

    constexpr std::int64_t s_usAMs = 1000;
    constexpr std::int64_t s_shrinkGraceMs = 3000;
    constexpr std::int64_t s_forever = std::numeric_limits<std::int64_t>::max();

    struct AttemptKey {
        std::string task;
        std::uint32_t attempt = 0;
        auto operator<=>(const AttemptKey&) const = default;
    };

    std::string describe(const AttemptKey& key)
    {
        return key.task + " attempt " + std::to_string(key.attempt);
    }

    // One run of an attempt on a worker.
    struct Interval {
        AttemptKey key;
        std::string worker;
        std::int64_t startUs = 0;
        std::int64_t endUs = s_forever;
        std::string endState;
        std::uint32_t fromCheckpoint = 0;
        // Newest checkpoint that was durable when the attempt ended.
        std::uint32_t checkpoint = 0;
    };

    // All runs, in the order of their start. Precondition: the events are sorted by time.
    std::vector<Interval> intervalsOf(const Evidence& evidence)
    {
        std::vector<Interval> intervals;
        auto findOpen = [&](const WorkerEvent& event) {
            return std::find_if(intervals.rbegin(), intervals.rend(), [&](const Interval& it) {
                return it.endUs == s_forever && it.worker == event.worker && it.key.task == event.task && it.key.attempt == event.attempt;
            });
        };
        for (const WorkerEvent& event : evidence.workers) {
            switch (event.kind) {
            case WorkerEventKind::Start:
                intervals.push_back({ { event.task, event.attempt }, event.worker, event.atUs, s_forever, {}, event.fromCheckpoint, event.fromCheckpoint });
                break;
            case WorkerEventKind::End:
                if (auto it = findOpen(event); it != intervals.rend()) {
                    it->endUs = std::max(event.atUs, it->startUs);
                    it->endState = event.state;
                    it->checkpoint = std::max(it->checkpoint, event.checkpoint);
                }
                break;
            case WorkerEventKind::Checkpoint:
                if (auto it = findOpen(event); it != intervals.rend())
                    it->checkpoint = std::max(it->checkpoint, event.checkpoint);
                break;
            case WorkerEventKind::Worker:
                for (Interval& it : intervals) {
                    if (it.worker == event.worker && it.endUs == s_forever)
                        it.endUs = event.atUs;
                }
                break;
            case WorkerEventKind::Shrink:
                break;
            }
        }
        return intervals;
    }

    std::map<std::string, std::vector<Interval>> intervalsByTask(const Evidence& evidence)
    {
        std::map<std::string, std::vector<Interval>> tasks;
        for (Interval& it : intervalsOf(evidence))
            tasks[it.key.task].push_back(std::move(it));
        return tasks;
    }

    struct Ledger {
        Resources capacity;
        // What a start was allowed to use: the capacity before a shrink that the
        // owner cannot have seen yet.
        Resources previousCapacity;
        std::int64_t shrunkAtUs = std::numeric_limits<std::int64_t>::min();
        std::map<AttemptKey, Resources> running;

        Resources sum() const
        {
            Resources total;
            for (const auto& [key, reserved] : running)
                total += reserved;
            return total;
        }
    };

    std::string describe(const Resources& it)
    {
        return std::to_string(it.millicores) + " millicores, " + std::to_string(it.memoryMib) + " MiB, " + std::to_string(it.accelerators) + " accelerators";
    }

    void judgeStart(const WorkerEvent& event, Ledger& ledger, std::int64_t graceUs, std::vector<std::string>& faults)
    {
        ledger.running[{ event.task, event.attempt }] = event.resources;
        bool isGrace = event.atUs < ledger.shrunkAtUs + graceUs;
        Resources sum = ledger.sum();
        if (!sum.fitsIn(isGrace ? ledger.previousCapacity : ledger.capacity))
            faults.push_back(event.worker + " has " + describe(ledger.capacity) + " and was given " + describe(sum) + " by the start of " + event.task);
    }

    void shrink(const WorkerEvent& event, Ledger& ledger)
    {
        ledger.previousCapacity = ledger.capacity;
        ledger.shrunkAtUs = event.atUs;
        ledger.capacity.millicores = event.resources.millicores;
    }

    // The newest durable checkpoint of all attempts that ended before this one began.
    std::uint32_t newestCheckpoint(const std::vector<Interval>& runs, std::size_t upTo)
    {
        std::uint32_t newest = 0;
        for (std::size_t i = 0; i < upTo; ++i)
            newest = std::max(newest, runs[i].checkpoint);
        return newest;
    }

    void judgeResumes(const std::vector<Interval>& runs, bool mayLoseReplies, std::vector<std::string>& faults)
    {
        std::set<std::uint32_t> attempts;
        std::int64_t completedAtUs = s_forever;
        int completions = 0;
        for (std::size_t i = 0; i < runs.size(); ++i) {
            const Interval& run = runs[i];
            if (!attempts.insert(run.key.attempt).second)
                faults.push_back(describe(run.key) + " was started twice");
            if (run.startUs > completedAtUs)
                faults.push_back(describe(run.key) + " was started after the task had completed");
            std::uint32_t newest = newestCheckpoint(runs, i);
            bool isRight = mayLoseReplies ? run.fromCheckpoint <= newest : run.fromCheckpoint == newest;
            if (!isRight)
                faults.push_back(describe(run.key) + " resumed from " + std::to_string(run.fromCheckpoint) + " %, but the newest checkpoint was " + std::to_string(newest) + " %");
            if (run.endState == "ATTEMPT_COMPLETED") {
                completedAtUs = std::min(completedAtUs, run.endUs);
                ++completions;
            }
        }
        if (completions > 1)
            faults.push_back(runs.front().key.task + " completed " + std::to_string(completions) + " times");
    }

} // namespace

// check capacity [shrink_grace_ms=N]
std::vector<std::string> judgeCapacity(const Evidence& evidence, WordList& words)
{
    std::int64_t graceUs = words.optionNumber("shrink_grace_ms", s_shrinkGraceMs) * s_usAMs;
    std::map<std::string, Ledger> ledgers;
    std::vector<std::string> faults;
    for (const WorkerEvent& event : evidence.workers) {
        Ledger& ledger = ledgers[event.worker];
        switch (event.kind) {
        case WorkerEventKind::Worker:
            ledger = { event.resources, event.resources };
            break;
        case WorkerEventKind::Start:
            judgeStart(event, ledger, graceUs, faults);
            break;
        case WorkerEventKind::End:
            ledger.running.erase({ event.task, event.attempt });
            break;
        case WorkerEventKind::Shrink:
            shrink(event, ledger);
            break;
        case WorkerEventKind::Checkpoint:
            break;
        }
    }
    return faults;
}

// check single_run
std::vector<std::string> judgeSingleRun(const Evidence& evidence, WordList&)
{
    std::vector<std::string> faults;
    for (const auto& [task, runs] : intervalsByTask(evidence)) {
        for (std::size_t i = 1; i < runs.size(); ++i) {
            for (std::size_t j = 0; j < i; ++j) {
                if (runs[j].endUs > runs[i].startUs)
                    faults.push_back(describe(runs[i].key) + " began on " + runs[i].worker + " while " + describe(runs[j].key) + " still ran on " + runs[j].worker);
            }
        }
    }
    return faults;
}

// check resume_once [lost_replies]
std::vector<std::string> judgeResumeOnce(const Evidence& evidence, WordList& words)
{
    bool mayLoseReplies = words.flag("lost_replies");
    std::vector<std::string> faults;
    for (const auto& [task, runs] : intervalsByTask(evidence))
        judgeResumes(runs, mayLoseReplies, faults);
    return faults;
}

// check all_tasks_end [within MS]; the runner has waited that long for them.
std::vector<std::string> judgeAllTasksEnd(const Evidence& evidence, WordList& words)
{
    words.after("within");
    static constexpr std::array<std::string_view, 4> s_ends { "completed", "failed", "cancelled", "impossible" };
    std::map<std::string, std::vector<Interval>> runs = intervalsByTask(evidence);
    std::vector<std::string> faults;
    for (const SubmittedTask& task : evidence.tasks) {
        if (!task.accepted)
            continue;
        bool hasEnded = std::find(s_ends.begin(), s_ends.end(), task.phase) != s_ends.end();
        if (!hasEnded)
            faults.push_back(task.id + " was accepted and is " + (task.phase.empty() ? "not known any more" : task.phase));
        const std::vector<Interval>& attempts = runs[task.id];
        auto isCompleted = [](const Interval& it) { return it.endState == "ATTEMPT_COMPLETED"; };
        if (task.phase == "completed" && std::none_of(attempts.begin(), attempts.end(), isCompleted))
            faults.push_back(task.id + " is called completed, but no worker completed it");
        if (task.phase == "cancelled" && !task.cancelled)
            faults.push_back(task.id + " is called cancelled, but nobody cancelled it");
    }
    return faults;
}

} // namespace plantainhold::standin
