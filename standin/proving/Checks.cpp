// The table of checks.

#include "standin/proving/Checks.h"

#include "standin/proving/NamedRows.h"
#include "standin/proving/Scenario.h"

#include <array>

namespace plantainhold::standin {

namespace {

    constexpr std::array s_checks {
        Check { "capacity", judgeCapacity },
        Check { "single_run", judgeSingleRun },
        Check { "resume_once", judgeResumeOnce },
        Check { "all_tasks_end", judgeAllTasksEnd },
        Check { "whole_answers", judgeWholeAnswers },
        Check { "at_most_once", judgeAtMostOnce },
        Check { "not_run_true", judgeNotRunTrue },
        Check { "no_new_work", judgeNoNewWork },
        Check { "nothing_cut", judgeNothingCut },
        Check { "answered", judgeAnswered },
        Check { "slots", judgeSlots },
        Check { "in_force", judgeInForce },
        Check { "no_revert", judgeNoRevert },
        Check { "burn", judgeBurn },
    };

    constexpr auto s_checkNames = namesOf(s_checks);

} // namespace

std::span<const Check> allChecks()
{
    return s_checks;
}

std::span<const std::string_view> checkNames()
{
    return s_checkNames;
}

std::vector<Finding> runCheck(const Step& check, const Evidence& evidence)
{
    const Check* known = findRow(s_checks, check.verb);
    WordList words(check);
    if (!known)
        words.fail("unknown check");
    std::vector<Finding> findings;
    for (std::string& text : known->judge(evidence, words))
        findings.push_back({ check.verb, std::move(text) });
    words.requireEnd();
    return findings;
}

} // namespace plantainhold::standin
