// One parsed scenario: a topology, steps in their order, and the checks that
// judge what happened.
#pragma once

#include <cstdint>
#include <filesystem>
#include <stdexcept>
#include <string>
#include <vector>

namespace plantainhold::standin {

// A scenario that cannot be understood or run; the message names file and line.
class ScenarioError : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

struct EntryGroup {
    std::string dataCentre;
    int count = 0;
};

struct WorkerGroup {
    std::string dataCentre;
    int count = 0;
    std::int64_t millicores = 32'000;
    std::int64_t memoryMib = 128'000;
    std::int64_t accelerators = 0;
    std::string rack;
};

struct ExecutorGroup {
    std::string dataCentre;
    std::string service;
    int count = 0;
    int slots = 8;
};

struct SettingLine {
    std::string section;
    std::string key;
    std::string value;
};

// A step or a check: its first word and what follows, as written.
struct Step {
    std::size_t line = 0;
    std::string verb;
    std::vector<std::string> words;
};

struct Scenario {
    std::filesystem::path file;
    std::string promise;
    // Strategies that a control run lacks; one control run each.
    std::vector<std::string> controls;
    std::uint64_t seed = 1;
    int limitSeconds = 180;

    std::int64_t logRetentionMs = 86'400'000;
    std::int64_t logAppendsPerSecond = 400;
    std::int64_t instancesLagMs = 0;
    std::vector<EntryGroup> entries;
    std::vector<WorkerGroup> workers;
    std::vector<ExecutorGroup> executors;
    std::vector<SettingLine> settings;
    // Kinds of links that go through the fault proxy.
    std::vector<std::string> proxied;

    std::vector<Step> steps;
    std::vector<Step> checks;
};

} // namespace plantainhold::standin
