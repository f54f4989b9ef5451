// Random schedules: reproducible from the seed, and every fault is undone.

#include "standin/proving/ChaosSchedule.h"

#include <algorithm>
#include <catch2/catch.hpp>

namespace plantainhold::standin {

namespace {

    ChaosTargets targets()
    {
        return { { "entry-a-1", "entry-b-1" }, { "worker-a-1" }, { "workers-a" }, { "executor-a-s-1" }, { "log", "peers", "workers", "executors", "instances", "callers" } };
    }

    ChaosPlan plan(std::uint64_t seed)
    {
        std::vector<std::string> faults(chaosFaults().begin(), chaosFaults().end());
        return { seed, std::chrono::seconds(60), std::chrono::milliseconds(200), faults };
    }

    std::string describe(const std::vector<ChaosAction>& actions)
    {
        std::string text;
        for (const ChaosAction& it : actions) {
            text += std::to_string(it.at.count()) + " " + it.step.verb;
            for (const std::string& word : it.step.words)
                text += " " + word;
            text += "\n";
        }
        return text;
    }

} // namespace

TEST_CASE("one seed gives one schedule")
{
    CHECK(describe(drawChaos(plan(5), targets())) == describe(drawChaos(plan(5), targets())));
    CHECK(describe(drawChaos(plan(5), targets())) != describe(drawChaos(plan(6), targets())));
}

TEST_CASE("a schedule is in order of time and ends with every fault undone")
{
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        INFO("seed " << seed);
        std::vector<ChaosAction> actions = drawChaos(plan(seed), targets());
        CHECK(std::is_sorted(actions.begin(), actions.end(), [](const ChaosAction& a, const ChaosAction& b) { return a.at < b.at; }));
        CHECK(actions.back().at <= std::chrono::seconds(60));
        auto count = [&](const std::string& verb) { return std::count_if(actions.begin(), actions.end(), [&](const ChaosAction& it) { return it.step.verb == verb; }); };
        CHECK(count("pause") == count("resume"));
        CHECK(count("kill") + count("terminate") == count("restart"));
        CHECK(count("cut") + count("silence") + count("delay") + count("oneway") + count("lose_replies") + count("reset") == count("heal"));
    }
}

TEST_CASE("a fault that is unknown or has nothing to hit is refused")
{
    ChaosPlan unknown = plan(1);
    unknown.faults = { "earthquake" };
    CHECK_THROWS_AS(drawChaos(unknown, targets()), ScenarioError);
    ChaosPlan cut = plan(1);
    cut.faults = { "cut" };
    CHECK_THROWS_AS(drawChaos(cut, { { "entry-a-1" }, {}, {}, {}, {} }), ScenarioError);
}

} // namespace plantainhold::standin
