// Checks on what executors ran and what callers received.

#include "standin/proving/Checks.h"

#include <algorithm>
#include <cstdlib>
#include <map>
#include <optional>
#include <set>

namespace plantainhold::standin {

namespace {

    constexpr std::int64_t s_usAMs = 1000;
    constexpr int s_ok = 200;
    constexpr int s_badGateway = 502;

    struct CallerKey {
        std::string team;
        std::string key;
        auto operator<=>(const CallerKey&) const = default;
    };

    std::string describe(const CallEntry& it)
    {
        return it.requestId + " by " + it.team + (it.key.empty() ? "" : " with key " + it.key);
    }

    // Results from 2100 on say that the request did not run, from 2200 on that
    // nobody knows.
    constexpr int s_firstNotRun = 2100;
    constexpr int s_firstUnknown = 2200;
    constexpr int s_afterUnknown = 2300;
    // The key belongs to another request; nothing is said about that one.
    constexpr std::string_view s_keyReused = "PH2113";
    // The request ran earlier; its answer is not repeated.
    constexpr std::string_view s_doneEarlier = "PH2001";

    int resultNumber(const CallEntry& call)
    {
        return call.result.starts_with("PH") ? std::atoi(call.result.c_str() + 2) : 0;
    }

    bool isToldNotRun(const CallEntry& call)
    {
        int number = resultNumber(call);
        return number >= s_firstNotRun && number < s_firstUnknown;
    }

    bool isToldUnknown(const CallEntry& call)
    {
        int number = resultNumber(call);
        return (number >= s_firstUnknown && number < s_afterUnknown) || (number == 0 && call.status == s_badGateway);
    }

    std::vector<const ExecutorEvent*> runsOf(const Evidence& evidence)
    {
        std::vector<const ExecutorEvent*> runs;
        for (const ExecutorEvent& it : evidence.executors) {
            if (it.kind == ExecutorEventKind::Run)
                runs.push_back(&it);
        }
        return runs;
    }

    std::optional<std::int64_t> markedAt(const Evidence& evidence, std::string_view what, std::string_view name)
    {
        auto it = std::find_if(evidence.marks.begin(), evidence.marks.end(), [&](const Mark& mark) { return mark.what == what && mark.name == name; });
        return it == evidence.marks.end() ? std::nullopt : std::optional(it->atUs);
    }

} // namespace

// check whole_answers: an answer that a caller took for whole is its own and whole.
std::vector<std::string> judgeWholeAnswers(const Evidence& evidence, WordList&)
{
    std::vector<std::string> faults;
    for (const CallEntry& it : evidence.calls) {
        if (it.status == s_ok && it.result != s_doneEarlier && it.receivedBody != it.expectedBody)
            faults.push_back(describe(it) + " expected " + std::to_string(it.expectedBody.size()) + " bytes of its own and received \"" + it.receivedBody.substr(0, 40) + "\", " + std::to_string(it.receivedBody.size()) + " bytes");
    }
    return faults;
}

// check at_most_once: a caller's key runs on executors at most once.
std::vector<std::string> judgeAtMostOnce(const Evidence& evidence, WordList&)
{
    std::map<CallerKey, std::vector<const ExecutorEvent*>> runs;
    for (const ExecutorEvent* it : runsOf(evidence)) {
        if (!it->key.empty())
            runs[{ it->team, it->key }].push_back(it);
    }
    std::vector<std::string> faults;
    for (const auto& [caller, events] : runs) {
        if (events.size() > 1)
            faults.push_back("key " + caller.key + " of " + caller.team + " ran " + std::to_string(events.size()) + " times, on " + events[0]->executor + " and " + events[1]->executor);
    }
    return faults;
}

// check not_run_true: what a caller was told did not run has not run, whichever
// request id carried its key before, and never runs under this request's id.
std::vector<std::string> judgeNotRunTrue(const Evidence& evidence, WordList&)
{
    std::set<std::string> requests;
    std::map<CallerKey, std::int64_t> firstRunUs;
    for (const ExecutorEvent* it : runsOf(evidence)) {
        requests.insert(it->request);
        if (!it->key.empty())
            firstRunUs.emplace(CallerKey { it->team, it->key }, it->atUs);
    }
    std::vector<std::string> faults;
    for (const CallEntry& it : evidence.calls) {
        if (!isToldNotRun(it))
            continue;
        if (requests.contains(it.requestId))
            faults.push_back(describe(it) + " was told " + it.result + ", not run, but it ran");
        auto run = firstRunUs.find({ it.team, it.key });
        if (it.result != s_keyReused && !it.key.empty() && run != firstRunUs.end() && run->second < it.startUs)
            faults.push_back(describe(it) + " was told " + it.result + ", not run, but its key had run before");
    }
    return faults;
}

// check no_new_work EXECUTOR after MS: nothing begins there so long after it was
// named leaving.
std::vector<std::string> judgeNoNewWork(const Evidence& evidence, WordList& words)
{
    std::string executor = words.take("an executor");
    std::int64_t limitUs = words.numberAfter("after", 0) * s_usAMs;
    std::optional<std::int64_t> left = markedAt(evidence, "leaving", executor);
    if (!left)
        words.fail(executor + " was never named leaving");
    std::vector<std::string> faults;
    for (const ExecutorEvent* it : runsOf(evidence)) {
        if (it->executor == executor && it->atUs > *left + limitUs)
            faults.push_back(executor + " began " + it->request + " " + std::to_string((it->atUs - *left) / s_usAMs) + " ms after it was named leaving");
    }
    return faults;
}

// check nothing_cut: each caller that reached an entry instance got an answer, and
// none was left in the dark about its request.
std::vector<std::string> judgeNothingCut(const Evidence& evidence, WordList&)
{
    std::vector<std::string> faults;
    for (const CallEntry& it : evidence.calls) {
        // A balancer that cannot connect goes on to the next instance.
        if (!it.wasSent && it.wasRepeated)
            continue;
        if (!it.error.empty())
            faults.push_back(describe(it) + " at " + it.entry + " was cut off: " + it.error);
        else if (isToldUnknown(it))
            faults.push_back(describe(it) + " at " + it.entry + " was answered " + it.result + ", outcome unknown");
    }
    return faults;
}

// check answered [at_least=PERMILLE] [service=NAME]: the share of requests that
// were answered with success, repeats of a request counting as one.
std::vector<std::string> judgeAnswered(const Evidence& evidence, WordList& words)
{
    constexpr std::int64_t s_all = 1000;
    std::int64_t atLeast = words.optionNumber("at_least", s_all);
    std::string service = words.option("service", "");
    std::int64_t total = 0, answered = 0;
    for (const CallEntry& it : evidence.calls) {
        if (it.wasRepeated || (!service.empty() && it.service != service))
            continue;
        ++total;
        answered += it.status == s_ok || it.result == s_doneEarlier;
    }
    if (total == 0)
        return { "no call was made" };
    if (answered * s_all >= atLeast * total)
        return {};
    return { std::to_string(answered) + " of " + std::to_string(total) + " requests were answered, not " + std::to_string(atLeast) + " in a thousand" };
}

// check slots: no executor was ever given more than it has slots.
std::vector<std::string> judgeSlots(const Evidence& evidence, WordList&)
{
    std::map<std::string, int> exceeded;
    for (const ExecutorEvent& it : evidence.executors)
        exceeded[it.executor] += it.kind == ExecutorEventKind::SlotsExceeded;
    std::vector<std::string> faults;
    for (const auto& [executor, count] : exceeded) {
        if (count > 0)
            faults.push_back(executor + " was given more than its slots " + std::to_string(count) + " times");
    }
    return faults;
}

} // namespace plantainhold::standin
