// codes results | events

#include "cmd/plantainhold/Command.h"
#include "cmd/plantainhold/CommonOptions.h"
#include "plantainhold/base/CodePages.h"

#include <array>
#include <iostream>

namespace plantainhold {

namespace {

    int results(std::vector<std::string> arguments)
    {
        CommonOptions("codes results", "Prints the table of result codes as Markdown.").parse(std::move(arguments));
        std::cout << resultsPage();
        return 0;
    }

    int events(std::vector<std::string> arguments)
    {
        CommonOptions("codes events", "Prints the catalogue of log events as Markdown.").parse(std::move(arguments));
        std::cout << eventsPage();
        return 0;
    }

    constexpr std::array s_commands {
        Command { "codes results", "print the table of result codes", results },
        Command { "codes events", "print the catalogue of log events", events },
    };

} // namespace

std::span<const Command> codeCommands()
{
    return s_commands;
}

} // namespace plantainhold
