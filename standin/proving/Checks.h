// The verdicts on a run. Each check is a pure function of the evidence.
#pragma once

#include "standin/proving/Evidence.h"
#include "standin/proving/WordList.h"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace plantainhold::standin {

// One thing that a check found wrong.
struct Finding {
    std::string check;
    std::string text;
};

struct Check {
    std::string_view name;
    // Returns what is wrong; empty when the promise held. Takes its arguments from
    // the words. Throws ScenarioError on bad arguments.
    std::vector<std::string> (*judge)(const Evidence& evidence, WordList& words);
};

// All checks. Thread-safe.
std::span<const Check> allChecks();
std::span<const std::string_view> checkNames();

// Runs one check line. Throws ScenarioError on bad arguments. Thread-safe.
std::vector<Finding> runCheck(const Step& check, const Evidence& evidence);

// The checks, by what they judge.
std::vector<std::string> judgeCapacity(const Evidence& evidence, WordList& words);
std::vector<std::string> judgeSingleRun(const Evidence& evidence, WordList& words);
std::vector<std::string> judgeResumeOnce(const Evidence& evidence, WordList& words);
std::vector<std::string> judgeAllTasksEnd(const Evidence& evidence, WordList& words);
std::vector<std::string> judgeWholeAnswers(const Evidence& evidence, WordList& words);
std::vector<std::string> judgeAtMostOnce(const Evidence& evidence, WordList& words);
std::vector<std::string> judgeNotRunTrue(const Evidence& evidence, WordList& words);
std::vector<std::string> judgeNoNewWork(const Evidence& evidence, WordList& words);
std::vector<std::string> judgeNothingCut(const Evidence& evidence, WordList& words);
std::vector<std::string> judgeAnswered(const Evidence& evidence, WordList& words);
std::vector<std::string> judgeSlots(const Evidence& evidence, WordList& words);
std::vector<std::string> judgeInForce(const Evidence& evidence, WordList& words);
std::vector<std::string> judgeNoRevert(const Evidence& evidence, WordList& words);
std::vector<std::string> judgeBurn(const Evidence& evidence, WordList& words);

} // namespace plantainhold::standin
