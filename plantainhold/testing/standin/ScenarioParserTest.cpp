// The scenario language: what is read, and that faults name their line.

#include "standin/proving/ScenarioParser.h"
#include "standin/proving/Checks.h"
#include "standin/proving/StepRunner.h"
#include "standin/proving/WordList.h"

#include <catch2/catch.hpp>
#include <filesystem>

namespace plantainhold::standin {

namespace {

    Scenario parse(const std::string& text)
    {
        return ScenarioParser(StepRunner::verbs(), checkNames()).parse(text, "x.scenario");
    }

    std::string faultOf(const std::string& text)
    {
        try {
            parse(text);
        } catch (const ScenarioError& error) {
            return error.what();
        }
        return {};
    }

} // namespace

TEST_CASE("a scenario is read whole")
{
    Scenario it = parse("# comment\npromise p\ncontrol A\ncontrol B\nseed 7\nentries arada 2\nworkers arada 3 millicores=4 rack=r\n"
                        "executors arada lesson 2 slots=4\nlog retention_ms=5 appends_per_second=6\ninstances lag_ms=9\nsetting tasks.shards 3\nproxied log peers\n"
                        "start\nsubmit id=x \"work 20\" # trailing\ncheck capacity\ncheck no_new_work e after 5\n");
    CHECK(it.promise == "p");
    CHECK(it.controls == std::vector<std::string> { "A", "B" });
    CHECK(it.seed == 7);
    CHECK(it.entries[0].count == 2);
    CHECK(it.workers[0].millicores == 4);
    CHECK(it.executors[0].slots == 4);
    CHECK(it.logRetentionMs == 5);
    CHECK(it.instancesLagMs == 9);
    CHECK(it.settings[0].key == "shards");
    CHECK(it.proxied.size() == 2);
    REQUIRE(it.steps.size() == 2);
    CHECK(it.steps[1].words == std::vector<std::string> { "id=x", "work 20" });
    REQUIRE(it.checks.size() == 2);
    CHECK(it.checks[1].words.size() == 3);
}

TEST_CASE("a scenario's faults name file and line")
{
    CHECK(faultOf("promise p\nfly\ncheck slots\n") == "x.scenario: line 2: unknown word fly");
    CHECK(faultOf("promise p\ncheck nonsense\n") == "x.scenario: line 2: check: unknown check nonsense");
    CHECK(faultOf("promise p\nentries a two\ncheck slots\n") == "x.scenario: line 2: entries: a count must be a number, not two");
    CHECK(faultOf("promise p\nentries a 2 more\ncheck slots\n") == "x.scenario: line 2: entries: unexpected word more");
    CHECK(faultOf("promise p\nproxied cats\ncheck slots\n") == "x.scenario: line 2: proxied: unknown kind of link cats");
    CHECK(faultOf("promise p\nsubmit \"work\ncheck slots\n") == "x.scenario: line 2: a quote is not closed");
    CHECK(faultOf("start\ncheck slots\n") == "x.scenario: line 1: no promise is named");
    CHECK(faultOf("promise p\nstart\n") == "x.scenario: line 2: nothing is checked");
}

TEST_CASE("words are taken by place, by name and by what precedes them")
{
    WordList words({ 3, "call", { "entry", "key=k", "via", "e", "background", "rest", "of it" } });
    CHECK(words.take("an entry") == "entry");
    CHECK(words.option("key") == "k");
    CHECK_FALSE(words.option("team"));
    CHECK(words.after("via") == "e");
    CHECK(words.flag("background"));
    CHECK_THROWS_AS(words.requireEnd(), ScenarioError);
    CHECK(words.rest() == "rest of it");
    words.requireEnd();
    CHECK_THROWS_WITH(words.take("a task"), "line 3: call: a task is missing");
}

TEST_CASE("every scenario in the repository can be read")
{
    namespace fs = std::filesystem;
    ScenarioParser parser(StepRunner::verbs(), checkNames());
    int count = 0;
    for (const fs::directory_entry& it : fs::recursive_directory_iterator(fs::path(PLANTAINHOLD_SOURCE_DIR) / "scenarios")) {
        if (it.path().extension() != ".scenario")
            continue;
        INFO(it.path().string());
        CHECK_NOTHROW(parser.parseFile(it.path()));
        ++count;
    }
    CHECK(count > 0);
}

} // namespace plantainhold::standin
