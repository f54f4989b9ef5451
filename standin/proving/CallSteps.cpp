// The steps of operators, submitters and callers.

#include "standin/proving/StepRunner.h"

#include "plantainhold/base/ResultCode.h"
#include "standin/proving/DaemonClient.h"

#include <algorithm>

namespace plantainhold::standin {

namespace {

    constexpr std::chrono::milliseconds s_operatorLimit { 3000 };
    constexpr std::chrono::milliseconds s_repeatPause { 200 };
    constexpr std::chrono::seconds s_operatorPatience { 20 };
    // Exit statuses of results after which repeating the same call is right.
    constexpr int s_unreachableExit = 4;
    constexpr int s_unknownExit = 6;
    constexpr int s_ok = 200;
    constexpr int s_connectRepeats = 3;
    constexpr const char* s_defaultTeam = "parish";

    // Whoever got no answer, or one that may change, repeats the same call.
    bool isWorthRepeating(const std::string& result)
    {
        if (result.empty())
            return true;
        for (const ResultInfo& it : allResults()) {
            if (resultLabel(it.code) == result)
                return it.exitStatus == s_unreachableExit || it.exitStatus == s_unknownExit;
        }
        return false;
    }

    bool matchesOneOf(const std::string& alternatives, const std::string& text)
    {
        for (std::size_t begin = 0; begin <= alternatives.size();) {
            std::size_t end = std::min(alternatives.find('|', begin), alternatives.size());
            if (alternatives.substr(begin, end - begin) == text)
                return true;
            begin = end + 1;
        }
        return false;
    }

} // namespace

std::filesystem::path StepRunner::findDocument(const std::string& name) const
{
    std::filesystem::path folder = std::filesystem::absolute(m_scenario.file).parent_path();
    // Beside the scenario, or in a folder above it.
    for (; folder.has_relative_path(); folder = folder.parent_path()) {
        if (std::filesystem::exists(folder / name))
            return folder / name;
    }
    throw ScenarioError("there is no document " + name);
}

std::string StepRunner::anyEntry() const
{
    for (const EntrySite& it : m_fleet.topology().entries()) {
        if (m_watch->newest(it.name).reached && !m_fleet.isPaused(it.name))
            return it.name;
    }
    return m_fleet.topology().entries().front().name;
}

// publish FILE [via ENTRY] [id=..] [base=..] [expect PHnnnn] [once]
void StepRunner::publishStep(WordList& words)
{
    std::string file = words.take("a document");
    std::optional<std::string> via = words.after("via");
    std::string id = words.option("id", "publish-" + std::to_string(++m_nextPublish));
    auto base = static_cast<std::uint64_t>(words.optionNumber("base", 0));
    std::string expectation = words.after("expect").value_or("PH4000");
    bool isOnce = words.flag("once");
    std::filesystem::path document = findDocument(file);
    auto until = std::chrono::steady_clock::now() + s_operatorPatience;
    PublishOutcome outcome;
    while (true) {
        outcome = clientOf(via.value_or(anyEntry())).publish(document, id, base, s_operatorLimit);
        if (isOnce || matchesOneOf(expectation, outcome.result) || !isWorthRepeating(outcome.result) || std::chrono::steady_clock::now() > until)
            break;
        std::this_thread::sleep_for(s_repeatPause);
    }
    if (outcome.result == resultLabel(ResultCode::ConfigAccepted))
        mark("accepted", std::to_string(outcome.version));
    if (!matchesOneOf(expectation, outcome.result))
        find("expect", "publish " + id + " ended with " + (outcome.result.empty() ? "no answer" : outcome.result) + ", not " + expectation);
}

// submit [id=..] [via ENTRY] [team=..] [profile=..] [urgent] [millicores=..] [memory_mib=..]
// [accelerators=..] [expected_ms=..] [count=..] [expect PHnnnn] COMMAND
void StepRunner::submitStep(WordList& words)
{
    SubmitSpec spec;
    std::string id = words.option("id", "task-" + std::to_string(++m_nextTask));
    std::string via = words.after("via").value_or(anyEntry());
    std::string expectation = words.after("expect").value_or("PH3000|PH3006");
    std::int64_t count = words.optionNumber("count", 1);
    spec.team = words.option("team", s_defaultTeam);
    spec.profile = words.option("profile", "");
    spec.urgent = words.flag("urgent");
    spec.millicores = words.optionNumber("millicores", spec.millicores);
    spec.memoryMib = words.optionNumber("memory_mib", spec.memoryMib);
    spec.accelerators = words.optionNumber("accelerators", spec.accelerators);
    spec.expectedMs = static_cast<std::uint32_t>(words.optionNumber("expected_ms", spec.expectedMs));
    spec.command = words.rest();
    spec.isService = spec.command.starts_with("service");
    auto until = std::chrono::steady_clock::now() + s_operatorPatience;
    for (std::int64_t i = 1; i <= count; ++i) {
        spec.id = count > 1 ? id + "-" + std::to_string(i) : id;
        std::string result;
        while (true) {
            result = clientOf(via).submit(spec, s_operatorLimit);
            if (matchesOneOf(expectation, result) || !isWorthRepeating(result) || std::chrono::steady_clock::now() > until)
                break;
            std::this_thread::sleep_for(s_repeatPause);
        }
        // A repeat may find that the task has ended already.
        bool isAccepted = matchesOneOf("PH3000|PH3006", result);
        m_tasks.push_back({ spec.id, via, spec.command, isAccepted });
        if (!matchesOneOf(expectation, result))
            find("expect", "submit " + spec.id + " ended with " + (result.empty() ? "no answer" : result) + ", not " + expectation);
    }
}

// cancel ID... [via ENTRY] [expect PHnnnn]
void StepRunner::cancelStep(WordList& words)
{
    std::string via = words.after("via").value_or(anyEntry());
    std::string expectation = words.after("expect").value_or("");
    std::vector<std::string> ids;
    while (std::optional<std::string> id = words.takeOptional()) {
        for (SubmittedTask& it : m_tasks) {
            if (!matchesPattern(*id, it.id))
                continue;
            it.cancelled = true;
            ids.push_back(it.id);
        }
    }
    auto until = std::chrono::steady_clock::now() + s_operatorPatience;
    std::string result = clientOf(via).cancel(ids, s_operatorLimit);
    while (isWorthRepeating(result) && std::chrono::steady_clock::now() < until) {
        std::this_thread::sleep_for(s_repeatPause);
        result = clientOf(via).cancel(ids, s_operatorLimit);
    }
    if (!expectation.empty() && !matchesOneOf(expectation, result))
        find("expect", "cancel ended with " + result + ", not " + expectation);
}

// As a balancer: the next instance that is ready; any when none is.
const EntrySite& StepRunner::pickEntry(const std::string& pattern)
{
    std::vector<std::string> names = entryNames(pattern);
    std::size_t first = m_nextEntry++;
    for (std::size_t i = 0; i < names.size(); ++i) {
        const std::string& name = names[(first + i) % names.size()];
        VersionSample newest = m_watch->newest(name);
        if (newest.reached && newest.ready)
            return *m_fleet.topology().findEntry(name);
    }
    return *m_fleet.topology().findEntry(names[first % names.size()]);
}

CallSpec StepRunner::makeCall(const std::string& entryPattern, WordList& words)
{
    CallSpec spec;
    spec.service = words.take("a service");
    spec.team = words.option("team", s_defaultTeam);
    spec.key = words.option("key", "");
    spec.body = words.option("body", "");
    spec.limit = Milliseconds(words.optionNumber("limit_ms", spec.limit.count()));
    spec.answerBytes = static_cast<std::size_t>(words.optionNumber("size", 0));
    spec.target = words.option("path", "/" + spec.service) + "?work_ms=" + std::to_string(words.optionNumber("work_ms", 5)) + "&size=" + std::to_string(spec.answerBytes);
    addRepeats(spec, entryPattern, static_cast<int>(words.optionNumber("retries", 0)));
    return spec;
}

// A caller behind the balancer: a failed connect goes to another instance at once,
// and a caller that repeats does so until it has an answer.
void StepRunner::addRepeats(CallSpec& spec, const std::string& entryPattern, int repeats)
{
    const EntrySite& entry = pickEntry(entryPattern);
    spec.entry = entry.name;
    spec.address = entry.callerLink;
    bool isBalanced = entryNames(entryPattern).size() > 1;
    auto left = std::make_shared<int>(repeats + (isBalanced ? s_connectRepeats : 0));
    CallSpec again = spec;
    spec.repeat = [this, again, entryPattern, left, repeats, isBalanced](const CallEntry& last) -> std::optional<CallSpec> {
        bool mayRepeat = (!last.wasSent && isBalanced) || (repeats > 0 && isWorthRepeating(last.result));
        if (last.status == s_ok || !mayRepeat || --*left < 0 || m_isStopping)
            return std::nullopt;
        CallSpec next = again;
        const EntrySite& other = pickEntry(entryPattern);
        next.entry = other.name;
        next.address = other.callerLink;
        return next;
    };
}

void StepRunner::expectCall(const CallEntry& entry, const std::string& expectation)
{
    bool isRight = expectation.empty() || matchesOneOf(expectation, entry.result) || matchesOneOf(expectation, std::to_string(entry.status));
    if (!isRight)
        find("expect", entry.requestId + " at " + entry.entry + " ended with " + std::to_string(entry.status) + " " + entry.result + " " + entry.error + ", not " + expectation);
}

// call ENTRY SERVICE [team=..] [key=..] [work_ms=..] [size=..] [body=..] [retries=..]
// [limit_ms=..] [path=..] [background] [expect PHnnnn]
void StepRunner::callStep(WordList& words)
{
    std::string pattern = words.take("an entry instance");
    bool isBackground = words.flag("background");
    std::string expectation = words.after("expect").value_or("");
    CallSpec spec = makeCall(pattern, words);
    std::future<CallEntry> call = m_callers.call(std::move(spec));
    if (isBackground)
        m_background.push_back({ std::move(call), expectation });
    else
        expectCall(call.get(), expectation);
}

// load ENTRY|all SERVICE rate=.. seconds=.. [keyed] [background], and what call takes
void StepRunner::loadStep(WordList& words)
{
    std::string pattern = words.take("an entry instance");
    bool isBackground = words.flag("background");
    bool isKeyed = words.flag("keyed");
    double rate = static_cast<double>(words.optionNumber("rate", 10));
    std::int64_t seconds = words.optionNumber("seconds", 5);
    std::int64_t repeats = words.optionNumber("retries", 0);
    CallSpec spec = makeCall(pattern, words);
    auto generate = [this, pattern, isKeyed, rate, seconds, repeats, spec] {
        auto start = std::chrono::steady_clock::now();
        auto total = static_cast<std::int64_t>(rate * static_cast<double>(seconds));
        for (std::int64_t i = 0; i < total && !m_isStopping; ++i) {
            std::this_thread::sleep_until(start + std::chrono::duration_cast<std::chrono::steady_clock::duration>(std::chrono::duration<double>(static_cast<double>(i) / rate)));
            CallSpec next = spec;
            if (isKeyed)
                next.key = "key-" + std::to_string(++m_nextKey);
            addRepeats(next, pattern, static_cast<int>(repeats));
            m_callers.call(std::move(next));
        }
    };
    if (isBackground)
        m_loads.emplace_back(generate);
    else
        generate();
}

// burn [via ENTRY]: takes the report on service-level burn for a later check.
void StepRunner::burnStep(WordList& words)
{
    std::string via = words.after("via").value_or(anyEntry());
    std::vector<BurnSample> samples = clientOf(via).burn(s_operatorLimit);
    if (samples.empty())
        find("burn", via + " gave no report");
    m_burn.insert(m_burn.end(), samples.begin(), samples.end());
}

} // namespace plantainhold::standin
