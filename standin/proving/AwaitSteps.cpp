// Steps that wait until something is so.

#include "standin/proving/StepRunner.h"

#include "standin/proving/DaemonClient.h"
#include "standin/proving/JournalReader.h"
#include "standin/proving/NamedRows.h"

#include <algorithm>
#include <array>

namespace plantainhold::standin {

namespace {

    constexpr std::chrono::milliseconds s_poll { 50 };
    constexpr std::chrono::milliseconds s_answerLimit { 500 };
    constexpr std::int64_t s_defaultWithinMs = 30'000;

    bool isFinal(const std::string& phase)
    {
        static constexpr std::array<std::string_view, 4> s_phases { "completed", "failed", "cancelled", "impossible" };
        return std::find(s_phases.begin(), s_phases.end(), phase) != s_phases.end();
    }

} // namespace

// await task ID PHASE | await attempt TASK N | await config VERSION on ENTRY|all |
// await ready ENTRY|all | await ended NAME; each "within MS"
void StepRunner::awaitStep(WordList& words)
{
    struct Kind {
        std::string_view name;
        void (StepRunner::*wait)(WordList&);
    };
    static constexpr std::array s_kinds {
        Kind { "task", &StepRunner::awaitTask },
        Kind { "attempt", &StepRunner::awaitAttempt },
        Kind { "config", &StepRunner::awaitConfig },
        Kind { "ready", &StepRunner::awaitReady },
        Kind { "ended", &StepRunner::awaitEnded },
    };
    std::string name = words.take("what to await");
    const Kind* kind = findRow(s_kinds, name);
    if (!kind)
        words.fail("cannot await " + name);
    (this->*kind->wait)(words);
}

void StepRunner::awaitCondition(WordList& words, const std::string& what, const std::function<bool()>& holds)
{
    Milliseconds within(words.numberAfter("within", s_defaultWithinMs));
    auto until = std::chrono::steady_clock::now() + within;
    while (!holds()) {
        if (std::chrono::steady_clock::now() > until) {
            find("await", what + " was not so within " + std::to_string(within.count()) + " ms");
            return;
        }
        std::this_thread::sleep_for(s_poll);
    }
}

// The phase as the instance knows it through which the task came, or any other.
std::string StepRunner::phaseOf(const std::string& task)
{
    auto known = std::find_if(m_tasks.begin(), m_tasks.end(), [&](const SubmittedTask& it) { return it.id == task; });
    std::vector<std::string> names = entryNames("all");
    if (known != m_tasks.end())
        names.insert(names.begin(), known->entry);
    for (const std::string& it : names) {
        if (!m_watch->newest(it).reached || m_fleet.isPaused(it))
            continue;
        std::string phase = clientOf(it).phaseOf(task, s_answerLimit);
        if (phase.empty())
            continue;
        if (known != m_tasks.end())
            known->phase = phase;
        return phase;
    }
    return {};
}

void StepRunner::awaitTask(WordList& words)
{
    std::string task = words.take("a task");
    std::string phases = "|" + words.take("a phase") + "|";
    awaitCondition(words, task + " " + phases, [&] {
        std::string phase = phaseOf(task);
        return !phase.empty() && phases.find("|" + phase + "|") != std::string::npos;
    });
}

void StepRunner::awaitAttempt(WordList& words)
{
    std::string task = words.take("a task");
    std::int64_t attempt = words.takeNumber("an attempt");
    awaitCondition(words, task + " attempt " + std::to_string(attempt), [&] {
        Evidence evidence;
        for (const std::filesystem::path& it : m_fleet.journals()) {
            if (it.filename().string().starts_with("workers-"))
                readJournal(it, evidence);
        }
        return std::any_of(evidence.workers.begin(), evidence.workers.end(), [&](const WorkerEvent& it) {
            return it.kind == WorkerEventKind::Start && it.task == task && it.attempt >= attempt;
        });
    });
}

void StepRunner::awaitConfig(WordList& words)
{
    auto version = static_cast<std::uint64_t>(words.takeNumber("a version"));
    std::vector<std::string> names = entryNames(words.after("on").value_or("all"));
    // Only answers to questions from now on count, not those of an earlier process.
    std::int64_t sinceUs = nowUs();
    awaitCondition(words, "config " + std::to_string(version), [&] {
        return std::all_of(names.begin(), names.end(), [&](const std::string& it) {
            VersionSample newest = m_watch->newest(it);
            return newest.reached && newest.askedUs > sinceUs && newest.version >= version;
        });
    });
}

void StepRunner::awaitReady(WordList& words)
{
    std::vector<std::string> names = entryNames(words.take("an entry instance"));
    std::int64_t sinceUs = nowUs();
    awaitCondition(words, "ready " + names.front(), [&] {
        return std::all_of(names.begin(), names.end(), [&](const std::string& it) {
            VersionSample newest = m_watch->newest(it);
            return newest.reached && newest.askedUs > sinceUs && newest.ready;
        });
    });
}

void StepRunner::awaitEnded(WordList& words)
{
    std::string name = words.take("a process");
    awaitCondition(words, "end of " + name, [&] { return !m_fleet.processes().isRunning(name); });
}

// Only for scenarios that check it: accepted tasks get the time to end.
void StepRunner::waitForTasksToEnd()
{
    auto check = std::find_if(m_scenario.checks.begin(), m_scenario.checks.end(), [](const Step& it) { return it.verb == "all_tasks_end"; });
    if (check == m_scenario.checks.end())
        return;
    WordList words(*check);
    auto until = std::chrono::steady_clock::now() + Milliseconds(words.numberAfter("within", s_defaultWithinMs));
    for (SubmittedTask& it : m_tasks) {
        if (!it.accepted)
            continue;
        while (!isFinal(phaseOf(it.id)) && std::chrono::steady_clock::now() < until)
            std::this_thread::sleep_for(s_poll);
    }
}

} // namespace plantainhold::standin
