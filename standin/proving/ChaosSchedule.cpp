// Each fault is a row of a table: how it begins, how it ends, and how long it may last.

#include "standin/proving/ChaosSchedule.h"

#include "standin/proving/NamedRows.h"

#include <algorithm>
#include <array>
#include <random>

namespace plantainhold::standin {

namespace {

    using Random = std::mt19937_64;

    constexpr std::chrono::milliseconds s_shortest { 200 };

    // std::uniform_int_distribution differs between libraries; this does not.
    std::uint64_t below(Random& random, std::uint64_t limit)
    {
        return limit == 0 ? 0 : random() % limit;
    }

    Step makeStep(std::string verb, std::vector<std::string> words)
    {
        return { 0, std::move(verb), std::move(words) };
    }

    struct Pair {
        Step begin;
        Step end;
    };

    const std::string& pick(const std::vector<std::string>& names, Random& random, std::string_view fault)
    {
        if (names.empty())
            throw ScenarioError("chaos fault " + std::string(fault) + " has nothing to hit");
        return names[below(random, names.size())];
    }

    // A link that is proxied, with one end or both drawn.
    std::string pickLink(const ChaosTargets& targets, Random& random, std::string_view fault)
    {
        const std::string& entry = pick(targets.entries, random, fault);
        const std::string& kind = pick(targets.proxied, random, fault);
        if (kind == "log" || kind == "instances")
            return entry + ">" + kind;
        if (kind == "workers")
            return entry + ">" + (below(random, 2) == 0 ? "worker-*" : pick(targets.workers, random, fault));
        if (kind == "executors")
            return entry + ">" + (below(random, 2) == 0 ? "executor-*" : pick(targets.executors, random, fault));
        if (kind == "peers")
            return entry + ">entry-*";
        return "caller>" + entry;
    }

    Pair kill(const ChaosTargets& targets, Random& random)
    {
        const std::string& name = pick(targets.entries, random, "kill");
        return { makeStep("kill", { name }), makeStep("restart", { name }) };
    }

    Pair pause(const ChaosTargets& targets, Random& random)
    {
        const std::string& name = pick(targets.entries, random, "pause");
        return { makeStep("pause", { name }), makeStep("resume", { name }) };
    }

    Pair terminate(const ChaosTargets& targets, Random& random)
    {
        const std::string& name = pick(targets.entries, random, "terminate");
        return { makeStep("terminate", { name }), makeStep("restart", { name, "gently" }) };
    }

    Pair killAll(const ChaosTargets& targets, Random&)
    {
        std::vector<std::string> names = targets.entries;
        return { makeStep("kill", names), makeStep("restart", names) };
    }

    template <const char* verb>
    Pair onLink(const ChaosTargets& targets, Random& random)
    {
        std::string link = pickLink(targets, random, verb);
        return { makeStep(verb, { link }), makeStep("heal", { link }) };
    }

    constexpr char s_cut[] = "cut";
    constexpr char s_silence[] = "silence";
    constexpr char s_oneway[] = "oneway";
    constexpr char s_loseReplies[] = "lose_replies";
    constexpr char s_reset[] = "reset";

    Pair silenceExisting(const ChaosTargets& targets, Random& random)
    {
        std::string link = pickLink(targets, random, "silence_existing");
        return { makeStep("silence", { link, "existing" }), makeStep("heal", { link }) };
    }

    Pair delay(const ChaosTargets& targets, Random& random)
    {
        std::string link = pickLink(targets, random, "delay");
        return { makeStep("delay", { link, std::to_string(20 + below(random, 300)) }), makeStep("heal", { link }) };
    }

    Pair isolate(const ChaosTargets& targets, Random& random)
    {
        // An entry instance without log, list and peers goes on serving what it can.
        const std::string& name = pick(targets.entries, random, "isolate");
        std::vector<std::string> links { name + ">log", name + ">instances", name + ">entry-*", "entry-*>" + name };
        return { makeStep("cut", links), makeStep("heal", links) };
    }

    Pair switchPair(const std::string& name, const std::string& switchName, const std::string& on, const std::string& off)
    {
        return { makeStep("switch", { name, switchName, on }), makeStep("switch", { name, switchName, off }) };
    }

    Pair outage(const ChaosTargets&, Random&) { return switchPair("log", "outage", "on", "off"); }
    Pair slowLog(const ChaosTargets&, Random& random) { return switchPair("log", "slow", std::to_string(50 + below(random, 400)), "0"); }
    Pair lostAppends(const ChaosTargets&, Random& random) { return switchPair("log", "lose_replies", std::to_string(20 + below(random, 60)), "0"); }
    Pair listOutage(const ChaosTargets&, Random&) { return switchPair("instances", "outage", "on", "off"); }

    Pair workerRestart(const ChaosTargets& targets, Random& random)
    {
        const std::string& worker = pick(targets.workers, random, "worker_restart");
        std::string process = "workers-" + worker.substr(worker.find('-') + 1, worker.rfind('-') - worker.find('-') - 1);
        return { makeStep("switch", { process, "restart", worker }), makeStep("sleep", { "0" }) };
    }

    Pair failsEverything(const ChaosTargets& targets, Random& random)
    {
        const std::string& worker = pick(targets.workers, random, "fails_everything");
        std::string process = "workers-" + worker.substr(worker.find('-') + 1, worker.rfind('-') - worker.find('-') - 1);
        return switchPair(process, "fails_everything", worker, "-" + worker);
    }

    Pair executorFault(const ChaosTargets& targets, Random& random)
    {
        static constexpr std::array<const char*, 6> s_modes { "silent", "close", "truncated", "crossed", "refuse", "slow 300" };
        const std::string& executor = pick(targets.executors, random, "executor");
        return switchPair("executors", "behave", executor + " " + s_modes[below(random, s_modes.size())], executor + " normal");
    }

    Pair executorKill(const ChaosTargets& targets, Random& random)
    {
        const std::string& executor = pick(targets.executors, random, "executor_kill");
        return { makeStep("kill", { executor }), makeStep("restart", { executor }) };
    }

    struct Fault {
        std::string_view name;
        Pair (*draw)(const ChaosTargets&, Random&);
        std::chrono::milliseconds longest;
    };

    constexpr std::array s_faults {
        Fault { "kill", kill, std::chrono::milliseconds(2000) },
        Fault { "kill_all", killAll, std::chrono::milliseconds(500) },
        Fault { "pause", pause, std::chrono::milliseconds(9000) },
        Fault { "terminate", terminate, std::chrono::milliseconds(500) },
        Fault { "cut", onLink<s_cut>, std::chrono::milliseconds(8000) },
        Fault { "silence", onLink<s_silence>, std::chrono::milliseconds(8000) },
        Fault { "silence_existing", silenceExisting, std::chrono::milliseconds(500) },
        Fault { "delay", delay, std::chrono::milliseconds(8000) },
        Fault { "oneway", onLink<s_oneway>, std::chrono::milliseconds(5000) },
        Fault { "lose_replies", onLink<s_loseReplies>, std::chrono::milliseconds(5000) },
        Fault { "reset", onLink<s_reset>, std::chrono::milliseconds(500) },
        Fault { "isolate", isolate, std::chrono::milliseconds(9000) },
        Fault { "outage", outage, std::chrono::milliseconds(8000) },
        Fault { "slow_log", slowLog, std::chrono::milliseconds(5000) },
        Fault { "lost_appends", lostAppends, std::chrono::milliseconds(5000) },
        Fault { "list_outage", listOutage, std::chrono::milliseconds(8000) },
        Fault { "worker_restart", workerRestart, std::chrono::milliseconds(500) },
        Fault { "fails_everything", failsEverything, std::chrono::milliseconds(5000) },
        Fault { "executor", executorFault, std::chrono::milliseconds(5000) },
        Fault { "executor_kill", executorKill, std::chrono::milliseconds(3000) },
    };

    constexpr auto s_faultNames = namesOf(s_faults);

    const Fault& findFault(const std::string& name)
    {
        const Fault* fault = findRow(s_faults, name);
        if (!fault)
            throw ScenarioError("unknown chaos fault " + name);
        return *fault;
    }

} // namespace

std::span<const std::string_view> chaosFaults()
{
    return s_faultNames;
}

std::vector<ChaosAction> drawChaos(const ChaosPlan& plan, const ChaosTargets& targets)
{
    Random random(plan.seed);
    std::vector<ChaosAction> actions;
    auto intervalMs = static_cast<std::uint64_t>(plan.interval.count());
    for (std::chrono::milliseconds at { 0 }; at < plan.duration; at += std::chrono::milliseconds(below(random, 2 * intervalMs) + 1)) {
        const Fault& fault = findFault(plan.faults[below(random, plan.faults.size())]);
        Pair pair = fault.draw(targets, random);
        auto spread = static_cast<std::uint64_t>((fault.longest - s_shortest).count());
        std::chrono::milliseconds end = at + s_shortest + std::chrono::milliseconds(below(random, spread + 1));
        actions.push_back({ at, std::move(pair.begin) });
        actions.push_back({ std::min(end, plan.duration), std::move(pair.end) });
    }
    std::stable_sort(actions.begin(), actions.end(), [](const ChaosAction& a, const ChaosAction& b) { return a.at < b.at; });
    return actions;
}

} // namespace plantainhold::standin
