// The table of verbs, the life of a run, and the steps that act on processes and
// links. Steps that call daemons stand in CallSteps.cpp, awaits in AwaitSteps.cpp.

#include "standin/proving/StepRunner.h"

#include "standin/proving/ChaosSchedule.h"
#include "standin/proving/DaemonClient.h"
#include "standin/proving/JournalReader.h"
#include "standin/proving/NamedRows.h"

#include <algorithm>
#include <array>

namespace plantainhold::standin {

namespace {

    constexpr std::uint64_t s_seedStep = 1'000'003;
    constexpr std::chrono::seconds s_joinLimit { 60 };
    constexpr std::chrono::seconds s_gentleEndLimit { 40 };

} // namespace

// A class, so that the rows can name private methods.
struct StepRunner::VerbTable {
    static constexpr std::array s_verbs {
        Verb { "start", &StepRunner::startStep },
        Verb { "publish", &StepRunner::publishStep },
        Verb { "sleep", &StepRunner::sleepStep },
        Verb { "kill", &StepRunner::killStep },
        Verb { "pause", &StepRunner::pauseStep },
        Verb { "resume", &StepRunner::resumeStep },
        Verb { "terminate", &StepRunner::terminateStep },
        Verb { "restart", &StepRunner::restartStep },
        Verb { "switch", &StepRunner::switchStep },
        Verb { "cut", &StepRunner::cutStep },
        Verb { "silence", &StepRunner::silenceStep },
        Verb { "delay", &StepRunner::delayStep },
        Verb { "oneway", &StepRunner::onewayStep },
        Verb { "reset", &StepRunner::resetStep },
        Verb { "lose_replies", &StepRunner::loseRepliesStep },
        Verb { "heal", &StepRunner::healStep },
        Verb { "submit", &StepRunner::submitStep },
        Verb { "cancel", &StepRunner::cancelStep },
        Verb { "call", &StepRunner::callStep },
        Verb { "load", &StepRunner::loadStep },
        Verb { "await", &StepRunner::awaitStep },
        Verb { "chaos", &StepRunner::chaosStep },
        Verb { "join", &StepRunner::joinStep },
        Verb { "burn", &StepRunner::burnStep },
    };
    static constexpr auto s_names = namesOf(s_verbs);
};

const StepRunner::Verb* StepRunner::findVerb(std::string_view name)
{
    return findRow(VerbTable::s_verbs, name);
}

std::span<const std::string_view> StepRunner::verbs()
{
    return VerbTable::s_names;
}

StepRunner::StepRunner(const Scenario& scenario, const RunOptions& options, Fleet& fleet)
    : m_scenario(scenario)
    , m_options(options)
    , m_fleet(fleet)
    , m_callers(options.folder / "callers.jsonl")
    , m_end(std::chrono::steady_clock::now() + std::chrono::seconds(scenario.limitSeconds))
{
}

StepRunner::~StepRunner()
{
    endBackground();
}

void StepRunner::endBackground()
{
    m_isStopping = true;
    for (std::thread& it : m_loads)
        it.join();
    m_loads.clear();
}

void StepRunner::run()
{
    m_watch = std::make_unique<VersionWatch>(m_fleet.topology().entries());
    bool isStarted = !m_scenario.steps.empty() && m_scenario.steps.front().verb == "start";
    if (!isStarted)
        perform({ 0, "start", {} });
    for (const Step& it : m_scenario.steps)
        perform(it);
    perform({ 0, "join", {} });
    waitForTasksToEnd();
    for (const std::string& it : m_fleet.processes().unexpectedEnds())
        throw ScenarioError("a process ended by itself: " + it);
}

void StepRunner::perform(const Step& step)
{
    if (std::chrono::steady_clock::now() > m_end)
        throw ScenarioError("line " + std::to_string(step.line) + ": the time limit of the scenario is over");
    WordList words(step);
    const Verb* verb = findVerb(step.verb);
    if (!verb)
        words.fail("unknown step");
    (this->*verb->perform)(words);
    words.requireEnd();
}

void StepRunner::mark(const std::string& what, const std::string& name)
{
    m_marks.push_back({ what, name, nowUs() });
}

void StepRunner::find(const std::string& check, const std::string& text)
{
    m_findings.push_back({ check, text });
}

std::vector<std::string> StepRunner::entryNames(const std::string& pattern) const
{
    std::vector<std::string> names;
    for (const EntrySite& it : m_fleet.topology().entries()) {
        if (pattern == "all" || matchesPattern(pattern, it.name))
            names.push_back(it.name);
    }
    if (names.empty())
        throw ScenarioError("no entry instance is named " + pattern);
    return names;
}

DaemonClient& StepRunner::clientOf(const std::string& entry)
{
    const EntrySite* site = m_fleet.topology().findEntry(entry);
    if (!site)
        throw ScenarioError("no entry instance is named " + entry);
    std::unique_ptr<DaemonClient>& client = m_clients[entry];
    if (!client)
        client = std::make_unique<DaemonClient>(site->controlAddress);
    return *client;
}

Evidence StepRunner::gatherEvidence()
{
    Evidence evidence;
    for (const std::filesystem::path& it : m_fleet.journals())
        readJournal(it, evidence);
    evidence.calls = m_callers.entries();
    evidence.versions = m_watch->samples();
    evidence.tasks = m_tasks;
    evidence.marks = m_marks;
    evidence.burn = m_burn;
    for (const EntrySite& it : m_fleet.topology().entries()) {
        if (m_fleet.processes().isRunning(it.name) && !m_fleet.isPaused(it.name))
            evidence.runningEntries.push_back(it.name);
    }
    sortByTime(evidence);
    return evidence;
}

void StepRunner::startStep(WordList& words)
{
    if (words.empty())
        m_fleet.startAll();
    while (std::optional<std::string> name = words.takeOptional()) {
        m_fleet.start(*name);
        m_fleet.waitUntilListening(*name);
    }
}

void StepRunner::sleepStep(WordList& words)
{
    std::this_thread::sleep_for(Milliseconds(words.takeNumber("milliseconds")));
}

void StepRunner::killStep(WordList& words)
{
    while (std::optional<std::string> name = words.takeOptional())
        m_fleet.kill(*name);
}

void StepRunner::pauseStep(WordList& words)
{
    while (std::optional<std::string> name = words.takeOptional())
        m_fleet.pause(*name);
}

void StepRunner::resumeStep(WordList& words)
{
    while (std::optional<std::string> name = words.takeOptional())
        m_fleet.resume(*name);
}

void StepRunner::terminateStep(WordList& words)
{
    while (std::optional<std::string> name = words.takeOptional())
        m_fleet.terminate(*name);
}

// restart NAME... [gently]: a new process with an empty memory; gently waits for
// the end of a planned stop first.
void StepRunner::restartStep(WordList& words)
{
    bool isGentle = words.flag("gently");
    std::vector<std::string> names;
    while (std::optional<std::string> name = words.takeOptional())
        names.push_back(*name);
    for (const std::string& it : names) {
        if (isGentle && !m_fleet.isPaused(it))
            m_fleet.processes().waitForEnd(it, s_gentleEndLimit);
        m_fleet.kill(it);
    }
    for (const std::string& it : names)
        m_fleet.start(it);
    for (const std::string& it : names)
        m_fleet.waitUntilListening(it);
}

void StepRunner::switchStep(WordList& words)
{
    std::string name = words.take("a stand-in");
    std::string switchName = words.take("a switch");
    std::string value = words.rest();
    m_fleet.setSwitch(name, switchName, value);
    std::string executor = value.substr(0, value.find(' '));
    bool isLeaving = (name == "instances" && switchName == "leaving") || (switchName == "behave" && value.ends_with(" leaving"));
    if (isLeaving)
        mark("leaving", executor);
}

void StepRunner::onLinks(WordList& words, const std::function<int(const std::string&)>& act)
{
    while (std::optional<std::string> link = words.takeOptional()) {
        // Chaos names links that a topology need not have.
        if (act(*link) == 0 && !link->starts_with("entry-*") && !link->ends_with("*"))
            words.fail("no proxied link is named " + *link);
    }
}

void StepRunner::cutStep(WordList& words)
{
    onLinks(words, [this](const std::string& link) { return m_fleet.proxy().cut(link); });
}

void StepRunner::silenceStep(WordList& words)
{
    bool existingOnly = words.flag("existing");
    onLinks(words, [this, existingOnly](const std::string& link) { return m_fleet.proxy().silence(link, existingOnly); });
}

void StepRunner::delayStep(WordList& words)
{
    std::string link = words.take("a link");
    Milliseconds time(words.takeNumber("milliseconds"));
    if (m_fleet.proxy().delay(link, time) == 0)
        words.fail("no proxied link is named " + link);
}

void StepRunner::onewayStep(WordList& words)
{
    onLinks(words, [this](const std::string& link) { return m_fleet.proxy().dropForward(link); });
}

void StepRunner::resetStep(WordList& words)
{
    onLinks(words, [this](const std::string& link) { return m_fleet.proxy().reset(link); });
}

void StepRunner::loseRepliesStep(WordList& words)
{
    onLinks(words, [this](const std::string& link) { return m_fleet.proxy().loseReplies(link); });
}

void StepRunner::healStep(WordList& words)
{
    onLinks(words, [this](const std::string& link) { return m_fleet.proxy().heal(link); });
}

// chaos seconds=N faults=A,B,... [every_ms=N]
void StepRunner::chaosStep(WordList& words)
{
    ChaosPlan plan;
    // A second schedule of the same run differs from the first.
    plan.seed = m_options.seed + s_seedStep * m_chaosCount++;
    plan.duration = std::chrono::seconds(words.optionNumber("seconds", 10));
    plan.interval = Milliseconds(words.optionNumber("every_ms", 1000));
    std::string faults = words.option("faults", "kill,pause");
    for (std::size_t begin = 0; begin <= faults.size();) {
        std::size_t end = std::min(faults.find(',', begin), faults.size());
        plan.faults.push_back(faults.substr(begin, end - begin));
        begin = end + 1;
    }
    ChaosTargets targets;
    targets.proxied = m_scenario.proxied;
    for (const EntrySite& it : m_fleet.topology().entries())
        targets.entries.push_back(it.name);
    for (const WorkerSite& it : m_fleet.topology().workers())
        targets.workers.push_back(it.name);
    for (const Topology::WorkerProcess& it : m_fleet.topology().workerProcesses())
        targets.workerProcesses.push_back(it.name);
    for (const ExecutorSite& it : m_fleet.topology().executors())
        targets.executors.push_back(it.name);
    auto start = std::chrono::steady_clock::now();
    for (const ChaosAction& it : drawChaos(plan, targets)) {
        std::this_thread::sleep_until(start + it.at);
        perform(it.step);
    }
}

void StepRunner::joinStep(WordList&)
{
    for (std::thread& it : m_loads)
        it.join();
    m_loads.clear();
    if (!m_callers.join(s_joinLimit))
        find("join", "calls were still open after a minute");
    for (Background& it : m_background) {
        if (it.call.wait_for(std::chrono::seconds(0)) == std::future_status::ready)
            expectCall(it.call.get(), it.expectation);
    }
    m_background.clear();
}

} // namespace plantainhold::standin
