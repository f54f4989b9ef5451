// Performs the steps of a scenario on a fleet, one after the other, and gathers
// what the checks need.
#pragma once

#include "standin/proving/CallerPool.h"
#include "standin/proving/Checks.h"
#include "standin/proving/Fleet.h"
#include "standin/proving/VersionWatch.h"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace plantainhold::standin {

class DaemonClient;

// Used by one thread.
class StepRunner {
public:
    StepRunner(const Scenario& scenario, const RunOptions& options, Fleet& fleet);
    ~StepRunner();

    // Performs all steps, then waits for what they left running. Throws
    // ScenarioError when a step makes no sense or the time limit is over.
    void run();

    // What happened. Precondition: run() has returned. Throws std::runtime_error
    // when a journal is malformed.
    Evidence gatherEvidence();

    // What steps themselves found wrong: expectations and awaits that failed.
    const std::vector<Finding>& findings() const { return m_findings; }

    // The words that may open a step. Thread-safe.
    static std::span<const std::string_view> verbs();

private:
    using Milliseconds = std::chrono::milliseconds;
    struct Verb {
        std::string_view name;
        void (StepRunner::*perform)(WordList&);
    };
    struct VerbTable;
    struct Background {
        std::future<CallEntry> call;
        std::string expectation;
    };
    static const Verb* findVerb(std::string_view name);

    void perform(const Step& step);

    // One a verb.
    void startStep(WordList& words);
    void publishStep(WordList& words);
    void sleepStep(WordList& words);
    void killStep(WordList& words);
    void pauseStep(WordList& words);
    void resumeStep(WordList& words);
    void terminateStep(WordList& words);
    void restartStep(WordList& words);
    void switchStep(WordList& words);
    void cutStep(WordList& words);
    void silenceStep(WordList& words);
    void delayStep(WordList& words);
    void onewayStep(WordList& words);
    void resetStep(WordList& words);
    void loseRepliesStep(WordList& words);
    void healStep(WordList& words);
    void submitStep(WordList& words);
    void cancelStep(WordList& words);
    void callStep(WordList& words);
    void loadStep(WordList& words);
    void awaitStep(WordList& words);
    void chaosStep(WordList& words);
    void joinStep(WordList& words);
    void burnStep(WordList& words);

    void awaitTask(WordList& words);
    void awaitAttempt(WordList& words);
    void awaitConfig(WordList& words);
    void awaitReady(WordList& words);
    void awaitEnded(WordList& words);
    // Polls until the condition holds; a finding when the time is over first.
    void awaitCondition(WordList& words, const std::string& what, const std::function<bool()>& holds);

    void onLinks(WordList& words, const std::function<int(const std::string&)>& act);
    std::vector<std::string> entryNames(const std::string& pattern) const;
    DaemonClient& clientOf(const std::string& entry);
    std::string anyEntry() const;
    std::filesystem::path findDocument(const std::string& name) const;
    CallSpec makeCall(const std::string& entryPattern, WordList& words);
    void addRepeats(CallSpec& spec, const std::string& entryPattern, int repeats);
    const EntrySite& pickEntry(const std::string& pattern);
    void expectCall(const CallEntry& entry, const std::string& expectation);
    std::string phaseOf(const std::string& task);
    void waitForTasksToEnd();
    void mark(const std::string& what, const std::string& name);
    void find(const std::string& check, const std::string& text);
    void endBackground();

    const Scenario& m_scenario;
    const RunOptions m_options;
    Fleet& m_fleet;
    CallerPool m_callers;
    std::unique_ptr<VersionWatch> m_watch;
    std::map<std::string, std::unique_ptr<DaemonClient>> m_clients;
    std::vector<Finding> m_findings;
    std::vector<Background> m_background;
    std::vector<std::thread> m_loads;
    std::atomic<bool> m_isStopping { false };
    std::atomic<std::size_t> m_nextEntry { 0 };
    std::atomic<std::uint64_t> m_nextKey { 0 };
    std::uint64_t m_chaosCount = 0;
    std::uint64_t m_nextTask = 0;
    std::uint64_t m_nextPublish = 0;
    std::vector<SubmittedTask> m_tasks;
    std::vector<Mark> m_marks;
    std::vector<BurnSample> m_burn;
    std::chrono::steady_clock::time_point m_end;
};

} // namespace plantainhold::standin
