// Reads scenario files. docs/SCENARIOS.md is the manual of their language.
#pragma once

#include "standin/proving/Scenario.h"

#include <span>
#include <string_view>

namespace plantainhold::standin {

class ScenarioParser {
public:
    // Words that may open a step, and names of checks; both outlive the parser.
    ScenarioParser(std::span<const std::string_view> verbs, std::span<const std::string_view> checks);

    // Reads a file. Throws ScenarioError. Thread-safe.
    Scenario parseFile(const std::filesystem::path& file) const;

    // Reads a text; the path only names it. Throws ScenarioError. Thread-safe.
    Scenario parse(std::string_view text, const std::filesystem::path& file) const;

private:
    std::span<const std::string_view> m_verbs;
    std::span<const std::string_view> m_checks;
};

} // namespace plantainhold::standin
