// Line by line: a header word fills in the topology, any other is a step.

#include "standin/proving/ScenarioParser.h"

#include "standin/proving/WordList.h"

#include <algorithm>
#include <array>
#include <fstream>
#include <sstream>

namespace plantainhold::standin {

namespace {

    // Splits at spaces; double quotes keep a text with spaces together.
    std::vector<std::string> splitWords(const std::string& line, std::size_t number)
    {
        std::vector<std::string> words;
        std::string word;
        bool isQuoted = false, isOpen = false;
        for (char c : line) {
            if (c == '"') {
                isQuoted = !isQuoted;
                isOpen = true;
            } else if (!isQuoted && c == '#') {
                break;
            } else if (!isQuoted && (c == ' ' || c == '\t' || c == '\r')) {
                if (isOpen)
                    words.push_back(std::move(word));
                word.clear();
                isOpen = false;
            } else {
                word += c;
                isOpen = true;
            }
        }
        if (isQuoted)
            throw ScenarioError("line " + std::to_string(number) + ": a quote is not closed");
        if (isOpen)
            words.push_back(std::move(word));
        return words;
    }

    void readPromise(Scenario& scenario, WordList& words) { scenario.promise = words.take("the promise"); }
    void readControl(Scenario& scenario, WordList& words) { scenario.controls.push_back(words.take("a strategy")); }
    void readSeed(Scenario& scenario, WordList& words) { scenario.seed = static_cast<std::uint64_t>(words.takeNumber("the seed")); }
    void readLimit(Scenario& scenario, WordList& words) { scenario.limitSeconds = static_cast<int>(words.takeNumber("seconds")); }

    void readLog(Scenario& scenario, WordList& words)
    {
        scenario.logRetentionMs = words.optionNumber("retention_ms", scenario.logRetentionMs);
        scenario.logAppendsPerSecond = words.optionNumber("appends_per_second", scenario.logAppendsPerSecond);
    }

    void readInstances(Scenario& scenario, WordList& words)
    {
        scenario.instancesLagMs = words.optionNumber("lag_ms", scenario.instancesLagMs);
    }

    void readEntries(Scenario& scenario, WordList& words)
    {
        EntryGroup group { words.take("a data centre") };
        group.count = static_cast<int>(words.takeNumber("a count"));
        scenario.entries.push_back(group);
    }

    void readWorkers(Scenario& scenario, WordList& words)
    {
        WorkerGroup group { words.take("a data centre") };
        group.count = static_cast<int>(words.takeNumber("a count"));
        group.millicores = words.optionNumber("millicores", group.millicores);
        group.memoryMib = words.optionNumber("memory_mib", group.memoryMib);
        group.accelerators = words.optionNumber("accelerators", group.accelerators);
        group.rack = words.option("rack", "rack-1");
        scenario.workers.push_back(group);
    }

    void readExecutors(Scenario& scenario, WordList& words)
    {
        ExecutorGroup group { words.take("a data centre"), words.take("a service") };
        group.count = static_cast<int>(words.takeNumber("a count"));
        group.slots = static_cast<int>(words.optionNumber("slots", group.slots));
        scenario.executors.push_back(group);
    }

    void readSetting(Scenario& scenario, WordList& words)
    {
        std::string name = words.take("SECTION.KEY");
        auto dot = name.find('.');
        if (dot == std::string::npos)
            words.fail("a setting is named SECTION.KEY");
        scenario.settings.push_back({ name.substr(0, dot), name.substr(dot + 1), words.take("a value") });
    }

    void readProxied(Scenario& scenario, WordList& words)
    {
        static constexpr std::array<std::string_view, 6> s_kinds { "log", "instances", "peers", "workers", "executors", "callers" };
        while (std::optional<std::string> kind = words.takeOptional()) {
            if (std::find(s_kinds.begin(), s_kinds.end(), *kind) == s_kinds.end())
                words.fail("unknown kind of link " + *kind);
            scenario.proxied.push_back(*kind);
        }
    }

    struct HeaderWord {
        std::string_view word;
        void (*read)(Scenario&, WordList&);
    };

    constexpr std::array s_headerWords {
        HeaderWord { "promise", readPromise },
        HeaderWord { "control", readControl },
        HeaderWord { "seed", readSeed },
        HeaderWord { "limit", readLimit },
        HeaderWord { "log", readLog },
        HeaderWord { "instances", readInstances },
        HeaderWord { "entries", readEntries },
        HeaderWord { "workers", readWorkers },
        HeaderWord { "executors", readExecutors },
        HeaderWord { "setting", readSetting },
        HeaderWord { "proxied", readProxied },
    };

    bool contains(std::span<const std::string_view> names, std::string_view name)
    {
        return std::find(names.begin(), names.end(), name) != names.end();
    }

    // Reads a header line; false when it is none.
    bool readHeader(Scenario& scenario, const Step& step)
    {
        auto it = std::find_if(s_headerWords.begin(), s_headerWords.end(), [&](const HeaderWord& header) { return header.word == step.verb; });
        if (it == s_headerWords.end())
            return false;
        WordList words(step);
        it->read(scenario, words);
        words.requireEnd();
        return true;
    }

} // namespace

ScenarioParser::ScenarioParser(std::span<const std::string_view> verbs, std::span<const std::string_view> checks)
    : m_verbs(verbs)
    , m_checks(checks)
{
}

Scenario ScenarioParser::parseFile(const std::filesystem::path& file) const
{
    std::ifstream stream(file);
    if (!stream)
        throw ScenarioError(file.string() + ": cannot be read");
    std::stringstream text;
    text << stream.rdbuf();
    return parse(text.str(), file);
}

Scenario ScenarioParser::parse(std::string_view text, const std::filesystem::path& file) const
{
    Scenario scenario;
    scenario.file = file;
    std::istringstream lines { std::string(text) };
    std::size_t number = 0;
    try {
        for (std::string line; std::getline(lines, line);) {
            std::vector<std::string> words = splitWords(line, ++number);
            if (words.empty())
                continue;
            Step step { number, words.front(), { words.begin() + 1, words.end() } };
            if (readHeader(scenario, step))
                continue;
            if (step.verb == "check") {
                WordList list(step);
                Step check { number, list.take("the check"), {} };
                check.words.assign(step.words.begin() + 1, step.words.end());
                if (!contains(m_checks, check.verb))
                    list.fail("unknown check " + check.verb);
                scenario.checks.push_back(std::move(check));
            } else if (contains(m_verbs, step.verb)) {
                scenario.steps.push_back(std::move(step));
            } else {
                throw ScenarioError("line " + std::to_string(number) + ": unknown word " + step.verb);
            }
        }
        if (scenario.promise.empty())
            throw ScenarioError("line 1: no promise is named");
        if (scenario.checks.empty())
            throw ScenarioError("line " + std::to_string(number) + ": nothing is checked");
    } catch (const ScenarioError& error) {
        throw ScenarioError(file.string() + ": " + error.what());
    }
    return scenario;
}

} // namespace plantainhold::standin
